package org.cicadalead.model.configuration;

import org.cicadalead.model.identity.TeamName;

/**
 * A team that sends requests and submits jobs. Immutable.
 *
 * @param name the team's name
 * @param share its weight in fair sharing relative to the other teams
 * @param jobQuota maximum number of its long-running jobs that are accepted and unfinished at once
 * @param place where it is defined
 */
public record TeamDefinition(TeamName name, int share, int jobQuota, SourcePlace place) {
    /** Share of a team whose definition has none. */
    public static final int DEFAULT_SHARE = 1;

    /** Job quota of a team whose definition has none. */
    public static final int DEFAULT_JOB_QUOTA = 100;
}
