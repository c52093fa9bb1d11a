package org.cicadalead.bench.state;

/**
 * The results for one fleet size. Immutable.
 *
 * @param hosts number of hosts
 * @param pools number of pools
 * @param teams number of teams
 * @param members number of entry processes
 * @param observationsPerSecond host observations decoded and folded per second
 * @param publicationMilliseconds mean time to decode and fold the publication of one file of ten teams
 * @param firstPublicationBytes size of the record that publishes the whole configuration folder
 * @param heapBytes heap that one copy of the state occupies
 * @param rememberedCommands commands in the window for the detection of duplicates, which count towards the heap
 * @param snapshotBytes size of the encoded state
 * @param snapshotEncodeMilliseconds median time to encode the state
 * @param snapshotDecodeMilliseconds median time to decode, merge and verify the state
 */
public record StateBenchResult(
        int hosts,
        int pools,
        int teams,
        int members,
        long observationsPerSecond,
        double publicationMilliseconds,
        int firstPublicationBytes,
        long heapBytes,
        int rememberedCommands,
        int snapshotBytes,
        double snapshotEncodeMilliseconds,
        double snapshotDecodeMilliseconds) {}
