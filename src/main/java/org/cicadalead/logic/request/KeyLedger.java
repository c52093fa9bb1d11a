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
    public static final int MOST_KEYS = 50_000;

    private final ProcessIdentifier self;
    private final Map<String, KeyEntry<A>> entries = new LinkedHashMap<>();
    private final List<MemberSet> sets = new ArrayList<>();
    private Optional<Long> gapAt = Optional.empty();
    private Optional<Long> firstSeen = Optional.empty();
    private boolean isNewcomer = true;

    /** Creates a ledger that knows nothing. */
    public KeyLedger(ProcessIdentifier self) {
        this.self = self;
    }

    /**
     * Takes in a set of members; every set must be shown, in order, unless a gap is told.
     *
     * @param gap whether processes may have left before this set that this process never saw
     */
    public void onMembers(Set<ProcessIdentifier> members, boolean gap, long now) {
        if (gap) {
            gapAt = Optional.of(now);
        }
        firstSeen = firstSeen.or(() -> Optional.of(now));
        if (sets.isEmpty() || !newest().equals(members)) {
            sets.add(new MemberSet(new TreeSet<>(members), digestOf(members), now));
        }
        while (sets.size() > 1 && isOver(sets.get(1).since(), now)) {
            sets.remove(0);
        }
        gapAt = gapAt.filter(at -> !isOver(at, now));
        isNewcomer = firstSeen.filter(at -> !isOver(at, now)).isPresent();
        forgetOld(now);
    }

    /** Returns the home of a key by the newest members. */
    public Optional<ProcessIdentifier> home(String key) {
        return sets.isEmpty() ? Optional.empty() : homeIn(key, newest());
    }

    /** Returns a short text that is equal for equal sets of members. */
    public String membersDigest() {
        return sets.isEmpty() ? "" : sets.get(sets.size() - 1).digest();
    }

    /**
     * Returns the other processes that may have been the home of a key within the retention. A process that has not
     * been there for that long cannot tell, and names all.
     */
    public Set<ProcessIdentifier> earlierHomes(String key) {
        Set<ProcessIdentifier> homes = new TreeSet<>();
        for (MemberSet set : sets) {
            homeIn(key, set.members()).ifPresent(homes::add);
        }
        if (isNewcomer) {
            homes.addAll(newest());
        }
        homes.remove(self);
        return homes;
    }

    /** Tells whether every process that may have been the home of a key can still be asked. */
    public boolean isProvable(String key) {
        return gapAt.isEmpty() && newest().containsAll(earlierHomes(key));
    }

    /** Says what is known of a key; {@code NOT_KNOWN} when nothing is. */
    public KeyReply<A> lookUp(String key, String digest) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null) {
            return KeyReply.of(KeyVerdict.NOT_KNOWN);
        }
        if (!entry.digest().equals(digest)) {
            return KeyReply.of(KeyVerdict.REUSED);
        }
        boolean runnerGone = entry.verdict() == KeyVerdict.IN_PROGRESS && !newest().contains(entry.runner());
        return runnerGone ? KeyReply.of(KeyVerdict.OUTCOME_UNKNOWN) : new KeyReply<>(entry.verdict(), entry.answer());
    }

    /** Grants a key that is not known; to be called only by its home, after every earlier home said the same. */
    public KeyReply<A> grant(String key, String digest, ProcessIdentifier runner, long claim, long now) {
        KeyReply<A> known = lookUp(key, digest);
        if (known.verdict() != KeyVerdict.NOT_KNOWN) {
            return known;
        }
        if (entries.size() >= MOST_KEYS) {
            return KeyReply.of(KeyVerdict.FULL);
        }
        entries.put(key, new KeyEntry<>(digest, runner, claim, KeyVerdict.IN_PROGRESS, Optional.empty(), now));
        return KeyReply.of(KeyVerdict.GRANTED);
    }

    /** Notes how a granted run ended; {@code NOT_KNOWN} for one that provably did not run, which frees the key. */
    public void end(String key, ProcessIdentifier runner, long claim, KeyVerdict verdict, Optional<A> answer) {
        KeyEntry<A> entry = entries.get(key);
        if (entry == null || !entry.runner().equals(runner) || entry.claim() != claim) {
            return;
        }
        if (verdict == KeyVerdict.NOT_KNOWN) {
            entries.remove(key);
        } else {
            entries.put(key, entry.ended(verdict, answer));
        }
    }

    private Set<ProcessIdentifier> newest() {
        return sets.get(sets.size() - 1).members();
    }

    private static boolean isOver(long since, long now) {
        return now - since >= RETENTION.toNanos();
    }

    private void forgetOld(long now) {
        Iterator<KeyEntry<A>> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && isOver(oldestFirst.next().since(), now)) {
            oldestFirst.remove();
        }
    }

    private static Optional<ProcessIdentifier> homeIn(String key, Set<ProcessIdentifier> members) {
        return RendezvousHash.order(key, members).stream().findFirst();
    }

    private static String digestOf(Set<ProcessIdentifier> members) {
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
     * @param answer the kept answer, if there is one
     * @param <A> type of a kept answer
     */
    public record KeyReply<A>(KeyVerdict verdict, Optional<A> answer) {
        /** Returns a reply without an answer. */
        public static <A> KeyReply<A> of(KeyVerdict verdict) {
            return new KeyReply<>(verdict, Optional.empty());
        }
    }
}
