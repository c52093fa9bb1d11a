package org.cicadalead.logic.checkpoint;

import java.util.Optional;
import org.cicadalead.model.command.CheckpointCommand.Part;
import org.pcollections.TreePMap;

/**
 * Puts checkpoints together from the records of the log, without a state. It keeps the parts of the newest checkpoint
 * that is still incomplete and of the newest complete one, and nothing else. Immutable.
 *
 * @param open the newest incomplete checkpoint
 * @param complete the newest complete checkpoint
 */
public record CheckpointScan(Optional<Assembly> open, Optional<Assembly> complete) {
    /** Most parts of a checkpoint; one with more is not read. */
    public static final int MAX_PARTS = 256;

    /** Returns a scan that has seen nothing. */
    public static CheckpointScan empty() {
        return new CheckpointScan(Optional.empty(), Optional.empty());
    }

    /** Takes the next part in the order of the log; parts may be missing, repeated or of an older checkpoint. */
    public CheckpointScan withPart(Part part) {
        if (part.count() < 1 || part.count() > MAX_PARTS || part.index() < 0 || part.index() >= part.count()) {
            return this;
        }
        if (open.filter(assembly -> assembly.basis() > part.basis()).isPresent()) {
            return this;
        }
        Assembly advanced = open.filter(assembly -> assembly.matches(part))
                .orElseGet(() -> new Assembly(part.basis(), part.count(), part.digest(), TreePMap.empty()))
                .withPart(part);
        if (!advanced.isComplete()) {
            return new CheckpointScan(Optional.of(advanced), complete);
        }
        boolean newer =
                complete.filter(known -> known.basis() > advanced.basis()).isEmpty();
        return new CheckpointScan(Optional.empty(), newer ? Optional.of(advanced) : complete);
    }

    /**
     * A checkpoint as far as its parts have been seen. Immutable but for the bytes, which are not to be changed.
     *
     * @param basis offset of the state that it holds
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of all parts together
     * @param parts the parts seen, by index
     */
    public record Assembly(long basis, int count, String digest, TreePMap<Integer, byte[]> parts) {
        /** Tells whether every part has been seen. */
        public boolean isComplete() {
            return parts.size() == count;
        }

        /** Returns the bytes of all parts seen, in order. */
        public byte[] content() {
            int length = parts.values().stream().mapToInt(bytes -> bytes.length).sum();
            byte[] content = new byte[length];
            int position = 0;
            for (byte[] bytes : parts.values()) {
                System.arraycopy(bytes, 0, content, position, bytes.length);
                position += bytes.length;
            }
            return content;
        }

        private boolean matches(Part part) {
            return basis == part.basis() && count == part.count() && digest.equals(part.digest());
        }

        private Assembly withPart(Part part) {
            return new Assembly(basis, count, digest, parts.plus(part.index(), part.content()));
        }
    }
}
