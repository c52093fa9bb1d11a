package org.cicadalead.logic.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cicadalead.model.identity.ProcessIdentifier;

/**
 * The idempotency keys that this process is, or was, the home of. The home of a key is the first process by
 * {@link RendezvousHash} over the members. A key is remembered for {@link #RETENTION} from its grant on.
 *
 * <p>Invariant: a key is granted only by its home, and only when every process that was its home within the retention
 * is either this one or a member that goes by the same members now and does not know the key. Not safe for use by
 * several threads.
 *
 * @param <A> type of a kept answer
 */
public final class KeyLedger<A> {
    /** Time for which a key is remembered. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /** Keys that are remembered at most. */
    public static final int MAX_KEYS = 50_000;

    private final ProcessIdentifier self;
    private final Map<String, KeyEntry<A>> entries = new LinkedHashMap<>();
    private final List<MemberSet> memberSets = new ArrayList<>();
    private Optional<Long> latestGapAt = Optional.empty();
    private Optional<Long> firstUpdateAt = Optional.empty();
    private boolean joinedWithinRetention = true;

    /** Creates a ledger that knows nothing. */
    public KeyLedger(ProcessIdentifier self) {
        this.self = self;
    }

    /**
     * Takes in a set of members; every set must be shown, in order, unless a gap is told.
     *
     * @param gap whether processes may have left before this set that this process never saw
     */
    public void updateMembers(Set<ProcessIdentifier> members, boolean gap, long now) {
        if (gap) {
            latestGapAt = Optional.of(now);
        }
        firstUpdateAt = firstUpdateAt.or(() -> Optional.of(now));
        if (memberSets.isEmpty() || !newestMembers().equals(members)) {
            memberSets.add(new MemberSet(new TreeSet<>(members), computeDigest(members), now));
        }
        while (memberSets.size() > 1 && isRetentionExpired(memberSets.get(1).since(), now)) {
            memberSets.remove(0);
        }
        latestGapAt = latestGapAt.filter(at -> !isRetentionExpired(at, now));
        joinedWithinRetention =
                firstUpdateAt.filter(at -> !isRetentionExpired(at, now)).isPresent();
        removeExpiredEntries(now);
    }

    /** Returns the home of a key by the newest members. */
    public Optional<ProcessIdentifier> findHome(String key) {
        return memberSets.isEmpty() ? Optional.empty() : findHomeAmong(key, newestMembers());
    }

    /** Returns a short text that is equal for equal sets of members. */
    public String membersDigest() {
        return memberSets.isEmpty() ? "" : memberSets.get(memberSets.size() - 1).digest();
    }

    /**
     * Returns the other processes that may have been the home of a key within the retention. A process that has not
     * been there for that long cannot tell, and names all.
     */
    public Set<ProcessIdentifier> findEarlierHomes(String key) {
        Set<ProcessIdentifier> homes = new TreeSet<>();
        for (MemberSet set : memberSets) {
            findHomeAmong(key, set.members()).ifPresent(homes::add);
        }
        if (joinedWithinRetention) {
            homes.addAll(newestMembers());
        }
        homes.remove(self);
        return homes;
    }

    /** Tells whether every process that may have been the home of a key can still be asked. */
    public boolean canAskAllEarlierHomes(String key) {
        return latestGapAt.isEmpty() && newestMembers().containsAll(findEarlierHomes(key));
    }

    /** Says what is known of a key; {@code NOT_KNOWN} when nothing is. */
    public KeyStatus<A> lookUp(String key, String digest) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null) {
            return KeyStatus.of(KeyVerdict.NOT_KNOWN);
        }
        if (!entry.digest().equals(digest)) {
            return KeyStatus.of(KeyVerdict.REUSED);
        }
        boolean runnerGone =
                entry.verdict() == KeyVerdict.IN_PROGRESS && !newestMembers().contains(entry.runner());
        return runnerGone
                ? KeyStatus.of(KeyVerdict.OUTCOME_UNKNOWN)
                : new KeyStatus<>(entry.verdict(), entry.response());
    }

    /** Grants a key that is not known; to be called only by its home, after every earlier home said the same. */
    public KeyStatus<A> grant(String key, String digest, ProcessIdentifier runner, long claim, long now) {
        KeyStatus<A> known = lookUp(key, digest);
        if (known.verdict() != KeyVerdict.NOT_KNOWN) {
            return known;
        }
        if (entries.size() >= MAX_KEYS) {
            return KeyStatus.of(KeyVerdict.FULL);
        }
        entries.put(key, new KeyEntry<>(digest, runner, claim, KeyVerdict.IN_PROGRESS, Optional.empty(), now));
        return KeyStatus.of(KeyVerdict.GRANTED);
    }

    /** Notes how a granted run ended; {@code NOT_KNOWN} for one that provably did not run, which frees the key. */
    public void recordEnd(String key, ProcessIdentifier runner, long claim, KeyVerdict verdict, Optional<A> answer) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null || !entry.runner().equals(runner) || entry.claim() != claim) {
            return;
        }
        if (verdict == KeyVerdict.NOT_KNOWN) {
            entries.remove(key);
        } else {
            entries.put(key, entry.withOutcome(verdict, answer));
        }
    }

    private Set<ProcessIdentifier> newestMembers() {
        return memberSets.get(memberSets.size() - 1).members();
    }

    private static boolean isRetentionExpired(long since, long now) {
        return now - since >= RETENTION.toNanos();
    }

    private void removeExpiredEntries(long now) {
        Iterator<KeyEntry<A>> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && isRetentionExpired(oldestFirst.next().grantedAt(), now)) {
            oldestFirst.remove();
        }
    }

    private static Optional<ProcessIdentifier> findHomeAmong(String key, Set<ProcessIdentifier> members) {
        return RendezvousHash.order(key, members).stream().findFirst();
    }

    private static String computeDigest(Set<ProcessIdentifier> members) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (ProcessIdentifier member : new TreeSet<>(members)) {
                digest.update((member.value() + "\n").getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private record MemberSet(Set<ProcessIdentifier> members, String digest, long since) {}

    /**
     * What is known of a key. Immutable.
     *
     * @param verdict what is known
     * @param response the stored response, if there is one
     * @param <A> type of a kept answer
     */
    public record KeyStatus<A>(KeyVerdict verdict, Optional<A> response) {
        /** Returns a reply without an answer. */
        public static <A> KeyStatus<A> of(KeyVerdict verdict) {
            return new KeyStatus<>(verdict, Optional.empty());
        }
    }
}
