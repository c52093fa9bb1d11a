package org.cicadalead.model.state;

import java.util.Map;
import org.cicadalead.model.identity.CommandIdentifier;
import org.pcollections.TreePMap;

/**
 * The commands folded within a number of offsets, by which a second copy is recognised. The two maps always hold the
 * same pairs. Immutable; a new window shares most of the old one.
 *
 * @param offsets offset of each remembered command
 * @param identifiers the remembered command of each offset, oldest first
 */
public record CommandWindow(TreePMap<CommandIdentifier, Long> offsets, TreePMap<Long, CommandIdentifier> identifiers) {
    /** Returns a window that remembers nothing. */
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

    /** Tells whether a command is remembered. */
    public boolean contains(CommandIdentifier identifier) {
        return offsets.containsKey(identifier);
    }

    /** Returns the number of remembered commands. */
    public int size() {
        return offsets.size();
    }

    /** Returns a window that also remembers a command that is not in it; offsets must grow from call to call. */
    public CommandWindow remember(CommandIdentifier identifier, long offset) {
        return new CommandWindow(offsets.plus(identifier, offset), identifiers.plus(offset, identifier));
    }

    /** Returns a window without the commands before an offset; the cost is that of the commands that it drops. */
    public CommandWindow forgetBefore(long offset) {
        TreePMap<CommandIdentifier, Long> keptOffsets = offsets;
        TreePMap<Long, CommandIdentifier> keptIdentifiers = identifiers;
        while (!keptIdentifiers.isEmpty() && keptIdentifiers.firstKey() < offset) {
            keptOffsets = keptOffsets.minus(keptIdentifiers.get(keptIdentifiers.firstKey()));
            keptIdentifiers = keptIdentifiers.minusFirstEntry();
        }
        return new CommandWindow(keptOffsets, keptIdentifiers);
    }
}
