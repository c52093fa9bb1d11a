package org.cicadalead.model.state;

import java.util.Map;
import org.cicadalead.model.identity.CommandIdentifier;
import org.pcollections.TreePMap;

/**
 * Identifiers of recently folded commands, used to recognize duplicates. The two maps always contain the same pairs.
 * Immutable; a new window shares most of its structure with the old one.
 *
 * @param offsets offset of each remembered command
 * @param identifiers remembered command of each offset, oldest first
 */
public record CommandWindow(TreePMap<CommandIdentifier, Long> offsets, TreePMap<Long, CommandIdentifier> identifiers) {
    /** Returns a window without commands. */
    public static CommandWindow empty() {
        return new CommandWindow(TreePMap.empty(), TreePMap.empty());
    }

    /** Returns a window with the given commands by offset. */
    public static CommandWindow of(Map<Long, CommandIdentifier> identifiers) {
        TreePMap<CommandIdentifier, Long> offsets = TreePMap.empty();
        for (Map.Entry<Long, CommandIdentifier> entry : identifiers.entrySet()) {
            offsets = offsets.plus(entry.getValue(), entry.getKey());
        }
        return new CommandWindow(offsets, TreePMap.from(identifiers));
    }

    /** Returns whether a command is remembered. */
    public boolean contains(CommandIdentifier identifier) {
        return offsets.containsKey(identifier);
    }

    /** Returns the number of remembered commands. */
    public int size() {
        return offsets.size();
    }

    /**
     * Returns a window that also remembers the given command, which must not be in this window yet. Offsets must
     * increase from call to call.
     */
    public CommandWindow remember(CommandIdentifier identifier, long offset) {
        return new CommandWindow(offsets.plus(identifier, offset), identifiers.plus(offset, identifier));
    }

    /**
     * Returns a window without the commands before an offset. The running time depends only on the number of dropped
     * commands.
     */
    public CommandWindow withoutCommandsBefore(long offset) {
        TreePMap<CommandIdentifier, Long> keptOffsets = offsets;
        TreePMap<Long, CommandIdentifier> keptIdentifiers = identifiers;
        while (!keptIdentifiers.isEmpty() && keptIdentifiers.firstKey() < offset) {
            keptOffsets = keptOffsets.minus(keptIdentifiers.get(keptIdentifiers.firstKey()));
            keptIdentifiers = keptIdentifiers.minusFirstEntry();
        }
        return new CommandWindow(keptOffsets, keptIdentifiers);
    }
}
