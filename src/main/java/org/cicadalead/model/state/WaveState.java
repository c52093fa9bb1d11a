package org.cicadalead.model.state;

import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.pcollections.TreePMap;

/**
 * A maintenance wave in the shared state. Its hosts are those selected when it started. Immutable.
 *
 * @param wave its identifier
 * @param version offset of the operator's or planner's record that last changed its phase
 * @param phase its phase
 * @param action what it does with a drained host
 * @param reason why it was started
 * @param startedMilliseconds the starter's wall clock, in milliseconds since 1970
 * @param periodMilliseconds time over which its grants are spread; 0 grants as fast as budgets allow
 * @param maximumFailures failed hosts that it tolerates before it stops
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

    /** Returns this wave with another number of tolerated failures. */
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

    /** Returns the number of hosts at a point of the wave. */
    public int countHosts(WaveHostProgress progress) {
        return (int) hosts.values().stream()
                .filter(host -> host.progress() == progress)
                .count();
    }
}
