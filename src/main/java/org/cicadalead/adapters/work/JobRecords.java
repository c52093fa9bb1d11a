package org.cicadalead.adapters.work;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/**
 * Encodes and decodes the stored records of jobs and waves. A job has its submissions and its cancellation, which any
 * process may write, and its progress, which only the leader writes. The key of a submission ends with a digest of the
 * record, so that no request that is repeated under another configuration replaces what the leader has read. Stateless;
 * safe for use by several threads.
 */
final class JobRecords {
    private static final String SUBMISSION = "s/";
    private static final String CANCELLATION = "c/";
    private static final String PROGRESS = "p/";
    private static final String WAVE = "w/";
    private static final char DIGEST_SEPARATOR = '#';

    /** Length of a digest in bytes: it has to differ only among the few submissions of one job. */
    private static final int DIGEST_BYTES = 8;

    private static final int DIGEST_CHARACTERS = 2 * DIGEST_BYTES;
    private static final byte[] PRESENT = {1};

    private final WorkCodec codec;

    JobRecords(WorkCodec codec) {
        this.codec = codec;
    }

    KeyedRecord encodeSubmission(WorkSubmission submission) {
        byte[] value = codec.encode(submission);
        return KeyedRecord.of(SUBMISSION + submission.job() + DIGEST_SEPARATOR + digest(value), value);
    }

    private static String digest(byte[] value) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(value);
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Every Java platform provides SHA-256", impossible);
        }
    }

    KeyedRecord encodeProgress(WorkProgress progress) {
        return KeyedRecord.of(PROGRESS + progress.job(), codec.encode(progress));
    }

    KeyedRecord encodeWave(WaveProgress progress) {
        return KeyedRecord.of(WAVE + progress.number(), codec.encode(progress));
    }

    Optional<WaveProgress> decodeWave(KeyedRecord stored) {
        return stored.key().startsWith(WAVE)
                ? stored.value()
                        .flatMap(value -> codec.decode(value, WaveProgress.class))
                        .filter(progress -> isAbout(stored, WAVE + progress.number(), WaveProgress.class))
                : Optional.empty();
    }

    /** Returns whether a cancellation states what it is restricted to, and reports it otherwise. */
    private boolean isRestriction(KeyedRecord stored, JobAccess access) {
        if (!access.restricted()) {
            codec.reportUnreadable(JobAccess.class, "without a restriction: " + stored.key());
        }
        return access.restricted();
    }

    /** Returns whether a record has the key of what it describes, and reports it otherwise. */
    private boolean isAbout(KeyedRecord stored, String key, Class<?> type) {
        return reportUnless(stored.key().equals(key), stored, type);
    }

    private boolean reportUnless(boolean isAbout, KeyedRecord stored, Class<?> type) {
        if (!isAbout) {
            codec.reportUnreadable(type, "under the key of another: " + stored.key());
        }
        return isAbout;
    }

    /** Creates a cancellation, which the leader ignores for a job that the access doesn't cover. */
    KeyedRecord createCancellation(String job, JobAccess access) {
        return KeyedRecord.of(CANCELLATION + job, access.restricted() ? codec.encode(access) : PRESENT);
    }

    /**
     * Creates the deletions of a job's cancellation and submissions.
     *
     * @param submissionKeys the keys of all its submissions
     */
    static List<KeyedRecord> createDeletions(String job, Collection<String> submissionKeys) {
        List<KeyedRecord> deletions = new ArrayList<>();
        deletions.add(KeyedRecord.createDeletion(CANCELLATION + job));
        submissionKeys.forEach(key -> deletions.add(KeyedRecord.createDeletion(key)));
        return deletions;
    }

    static KeyedRecord createProgressDeletion(String job) {
        return KeyedRecord.createDeletion(PROGRESS + job);
    }

    Optional<WorkSubmission> decodeSubmission(KeyedRecord stored) {
        return stored.key().startsWith(SUBMISSION)
                ? stored.value()
                        .flatMap(value -> codec.decode(value, WorkSubmission.class))
                        .filter(submission -> reportUnless(
                                submittedJob(stored).equals(Optional.of(submission.job())),
                                stored,
                                WorkSubmission.class))
                : Optional.empty();
    }

    Optional<WorkProgress> decodeProgress(KeyedRecord stored) {
        return stored.key().startsWith(PROGRESS)
                ? stored.value()
                        .flatMap(value -> codec.decode(value, WorkProgress.class))
                        .filter(progress -> isAbout(stored, PROGRESS + progress.job(), WorkProgress.class))
                : Optional.empty();
    }

    /** Returns the job of which a record holds the submission. Records of earlier versions have no digest. */
    static Optional<String> submittedJob(KeyedRecord stored) {
        if (!stored.key().startsWith(SUBMISSION) || stored.value().isEmpty()) {
            return Optional.empty();
        }
        String name = stored.key().substring(SUBMISSION.length());
        int separator = name.length() - DIGEST_CHARACTERS - 1;
        boolean hasDigest = separator > 0 && name.charAt(separator) == DIGEST_SEPARATOR;
        return Optional.of(hasDigest ? name.substring(0, separator) : name);
    }

    Optional<Cancellation> decodeCancellation(KeyedRecord stored) {
        return stored.key().startsWith(CANCELLATION)
                ? stored.value()
                        .flatMap(value -> Arrays.equals(value, PRESENT)
                                ? Optional.of(JobAccess.UNRESTRICTED)
                                : codec.decode(value, JobAccess.class).filter(access -> isRestriction(stored, access)))
                        .map(access -> new Cancellation(stored.key().substring(CANCELLATION.length()), access))
                : Optional.empty();
    }

    /** The cancellation of a job, and the jobs that its sender may cancel. */
    record Cancellation(String job, JobAccess access) {}
}
