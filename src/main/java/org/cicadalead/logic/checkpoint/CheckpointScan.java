package org.cicadalead.logic.checkpoint;

import java.util.Optional;
import org.cicadalead.model.command.CheckpointCommand.Part;
import org.pcollections.TreePMap;

/**
 * Assembles checkpoints from records of the log without a shared state. Keeps only the parts of the newest incomplete
 * and of the newest complete checkpoint. Immutable.
 *
 * @param open the newest incomplete checkpoint
 * @param complete the newest complete checkpoint
 */
public record CheckpointScan(Optional<Assembly> open, Optional<Assembly> complete) {
    /** Maximum number of parts of a checkpoint; a checkpoint with more parts is ignored. */
    public static final int MAX_PARTS = 256;

    /** Returns a scan without any parts. */
    public static CheckpointScan empty() {
        return new CheckpointScan(Optional.empty(), Optional.empty());
    }

    /**
     * Returns the scan after the next part in log order. Parts may be missing, repeated or belong to an older
     * checkpoint.
     */
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
        boolean isNewer =
                complete.filter(current -> current.basis() > advanced.basis()).isEmpty();
        return new CheckpointScan(Optional.empty(), isNewer ? Optional.of(advanced) : complete);
    }

    /**
     * Parts of a checkpoint that have been read so far. Immutable except for the byte arrays, which must not be
     * modified.
     *
     * @param basis offset of the state in the checkpoint
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of all parts together
     * @param parts the parts read so far, by index
     */
    public record Assembly(long basis, int count, String digest, TreePMap<Integer, byte[]> parts) {
        /** Returns whether every part has been read. */
        public boolean isComplete() {
            return parts.size() == count;
        }

        /** Returns the bytes of all parts read so far, in order of index. */
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
