package org.cicadalead.model.work;

import java.util.Objects;

/**
 * The part of a {@link LeaderRecord} that a follower needs while the leader works. Immutable.
 *
 * @param epoch number of the leader's term
 * @param process name of the process, with a part that differs after a restart
 * @param address address at which its peers reach it
 * @param resigned whether it has ended its term voluntarily
 */
public record LeaderHead(long epoch, String process, String address, boolean resigned) {
    /** Throws if a part is missing or the number of the term is negative. */
    public LeaderHead {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(address, "address");
        if (epoch < 0) {
            throw new IllegalArgumentException("a negative epoch");
        }
    }
}
