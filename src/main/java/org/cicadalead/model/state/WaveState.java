package org.cicadalead.model.state;

import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.pcollections.TreePMap;

/**
 * A maintenance wave in the shared state. Its hosts are those that were selected when it started. Immutable.
 *
 * @param wave its identifier
 * @param version offset of the operator's or planner's record that last changed its phase
 * @param phase its phase
 * @param action what is done with a drained host
 * @param reason why it was started
 * @param startedMilliseconds wall clock of the process that started it, in milliseconds since 1970
 * @param periodMilliseconds time over which its grants are spread; 0 to grant as fast as budgets allow
 * @param maximumFailures maximum number of failed hosts before the wave stops
 * @param hosts its hosts
 */
public record WaveState(
        WaveIdentifier wave,
        long version,
        WavePhase phase,
        WaveAction action,
        String reason,
        long startedMilliseconds,
        long periodMilliseconds,
        int maximumFailures,
        TreePMap<HostName, WaveHost> hosts) {
    /** Returns this wave in another phase. */
    public WaveState withPhase(long newVersion, WavePhase newPhase) {
        return new WaveState(
                wave,
                newVersion,
                newPhase,
                action,
                reason,
                startedMilliseconds,
                periodMilliseconds,
                maximumFailures,
                hosts);
    }

    /** Returns this wave with another maximum number of failed hosts. */
    public WaveState withMaximumFailures(int newMaximum) {
        return new WaveState(
                wave, version, phase, action, reason, startedMilliseconds, periodMilliseconds, newMaximum, hosts);
    }

    /** Returns this wave with one host changed. */
    public WaveState withHost(HostName name, WaveHost host) {
        return withHosts(hosts.plus(name, host));
    }

    /** Returns this wave with other hosts. */
    public WaveState withHosts(TreePMap<HostName, WaveHost> newHosts) {
        return new WaveState(
                wave,
                version,
                phase,
                action,
                reason,
                startedMilliseconds,
                periodMilliseconds,
                maximumFailures,
                newHosts);
    }

    /** Returns the number of hosts with the given progress. */
    public int countHosts(WaveHostProgress progress) {
        return (int) hosts.values().stream()
                .filter(host -> host.progress() == progress)
                .count();
    }
}
