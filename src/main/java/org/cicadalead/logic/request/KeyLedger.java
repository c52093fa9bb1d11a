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
 * Keeps the idempotency keys of which this process is or was the home. The home of a key is the first member in the
 * order of {@link RendezvousHash}. A key is kept for {@link #RETENTION} after its grant.
 *
 * <p>Invariant: a key is granted only by its home, and only when every process that was its home within the retention
 * is either this process or a current member that uses the same set of members and does not know the key. Not safe for
 * use by several threads.
 *
 * @param <A> type of a stored response
 */
public final class KeyLedger<A> {
    /** Time for which a key is kept. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    /** Maximum number of keys that are kept. */
    public static final int MAX_KEYS = 50_000;

    private final ProcessIdentifier self;
    private final Map<String, KeyEntry<A>> entries = new LinkedHashMap<>();
    private final List<MemberSet> memberSets = new ArrayList<>();
    private Optional<Long> latestGapAt = Optional.empty();
    private Optional<Long> firstUpdateAt = Optional.empty();
    private boolean joinedWithinRetention = true;

    /** Creates an empty ledger. */
    public KeyLedger(ProcessIdentifier self) {
        this.self = self;
    }

    /**
     * Applies a set of members. Every set must be passed, in order, unless {@code gap} is true.
     *
     * @param gap whether processes that this process never saw may have left before this set
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

    /** Returns the home of a key among the newest members. */
    public Optional<ProcessIdentifier> findHome(String key) {
        return memberSets.isEmpty() ? Optional.empty() : findHomeAmong(key, newestMembers());
    }

    /** Returns a digest of the newest set of members, which is equal for equal sets. */
    public String membersDigest() {
        return memberSets.isEmpty() ? "" : memberSets.get(memberSets.size() - 1).digest();
    }

    /**
     * Returns the other processes that may have been the home of a key within the retention. A process that joined
     * within the retention does not know the earlier homes and returns all other members.
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

    /** Returns whether every process that may have been the home of a key can still be asked. */
    public boolean canAskAllEarlierHomes(String key) {
        return latestGapAt.isEmpty() && newestMembers().containsAll(findEarlierHomes(key));
    }

    /** Returns the status of a key; {@code NOT_KNOWN} when there is no entry. */
    public KeyStatus<A> findStatus(String key, String digest) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null) {
            return KeyStatus.of(KeyVerdict.NOT_KNOWN);
        }
        if (!entry.digest().equals(digest)) {
            return KeyStatus.of(KeyVerdict.REUSED);
        }
        boolean runnerLeft =
                entry.verdict() == KeyVerdict.IN_PROGRESS && !newestMembers().contains(entry.runner());
        return runnerLeft
                ? KeyStatus.of(KeyVerdict.OUTCOME_UNKNOWN)
                : new KeyStatus<>(entry.verdict(), entry.response());
    }

    /**
     * Grants a key that is not known. Must be called only by its home, after every earlier home replied that it does
     * not know the key.
     */
    public KeyStatus<A> grant(String key, String digest, ProcessIdentifier runner, long claim, long now) {
        KeyStatus<A> existing = findStatus(key, digest);
        if (existing.verdict() != KeyVerdict.NOT_KNOWN) {
            return existing;
        }
        if (entries.size() >= MAX_KEYS) {
            return KeyStatus.of(KeyVerdict.FULL);
        }
        entries.put(key, new KeyEntry<>(digest, runner, claim, KeyVerdict.IN_PROGRESS, Optional.empty(), now));
        return KeyStatus.of(KeyVerdict.GRANTED);
    }

    /**
     * Records the end of a granted run. The verdict {@code NOT_KNOWN} means that the request provably did not run, and
     * frees the key.
     */
    public void recordEnd(String key, ProcessIdentifier runner, long claim, KeyVerdict verdict, Optional<A> response) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null || !entry.runner().equals(runner) || entry.claim() != claim) {
            return;
        }
        if (verdict == KeyVerdict.NOT_KNOWN) {
            entries.remove(key);
        } else {
            entries.put(key, entry.withOutcome(verdict, response));
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
        } catch (NoSuchAlgorithmException unsupported) {
            throw new IllegalStateException(unsupported);
        }
    }

    private record MemberSet(Set<ProcessIdentifier> members, String digest, long since) {}

    /**
     * Status of a key. Immutable.
     *
     * @param verdict state of the key
     * @param response the stored response, if there is one
     * @param <A> type of a stored response
     */
    public record KeyStatus<A>(KeyVerdict verdict, Optional<A> response) {
        /** Returns a status without a response. */
        public static <A> KeyStatus<A> of(KeyVerdict verdict) {
            return new KeyStatus<>(verdict, Optional.empty());
        }
    }
}
