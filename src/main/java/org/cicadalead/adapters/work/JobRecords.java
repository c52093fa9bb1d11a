package org.cicadalead.adapters.work;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/**
 * Encodes and decodes the stored records of jobs and waves. A job has up to three keys: its submission and its
 * cancellation, which any process may write, and its progress, which only the leader writes. Stateless; safe for use by
 * several threads.
 */
final class JobRecords {
    private static final String SUBMISSION = "s/";
    private static final String CANCELLATION = "c/";
    private static final String PROGRESS = "p/";
    private static final String WAVE = "w/";
    private static final byte[] PRESENT = {1};

    private final WorkCodec codec;

    JobRecords(WorkCodec codec) {
        this.codec = codec;
    }

    KeyedRecord encodeSubmission(WorkSubmission submission) {
        return KeyedRecord.of(SUBMISSION + submission.job(), codec.encode(submission));
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
        boolean isAbout = stored.key().equals(key);
        if (!isAbout) {
            codec.reportUnreadable(type, "under the key of another: " + stored.key());
        }
        return isAbout;
    }

    /** Creates a cancellation, which the leader ignores for a job that the access doesn't cover. */
    KeyedRecord createCancellation(String job, JobAccess access) {
        return KeyedRecord.of(CANCELLATION + job, access.restricted() ? codec.encode(access) : PRESENT);
    }

    static List<KeyedRecord> createDeletions(String job) {
        return List.of(KeyedRecord.createDeletion(CANCELLATION + job), KeyedRecord.createDeletion(SUBMISSION + job));
    }

    static KeyedRecord createProgressDeletion(String job) {
        return KeyedRecord.createDeletion(PROGRESS + job);
    }

    Optional<WorkSubmission> decodeSubmission(KeyedRecord stored) {
        return stored.key().startsWith(SUBMISSION)
                ? stored.value()
                        .flatMap(value -> codec.decode(value, WorkSubmission.class))
                        .filter(submission -> isAbout(stored, SUBMISSION + submission.job(), WorkSubmission.class))
                : Optional.empty();
    }

    Optional<WorkProgress> decodeProgress(KeyedRecord stored) {
        return stored.key().startsWith(PROGRESS)
                ? stored.value()
                        .flatMap(value -> codec.decode(value, WorkProgress.class))
                        .filter(progress -> isAbout(stored, PROGRESS + progress.job(), WorkProgress.class))
                : Optional.empty();
    }

    /** Returns the job of which a record holds the submission. */
    static Optional<String> submittedJob(KeyedRecord stored) {
        return stored.key().startsWith(SUBMISSION) && stored.value().isPresent()
                ? Optional.of(stored.key().substring(SUBMISSION.length()))
                : Optional.empty();
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
