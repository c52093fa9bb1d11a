package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.TimerService;

/**
 * Maintains the membership of this process: appends its join until the shared state contains it, and its leave when
 * none of the work that it placed is in flight any more. Safe for use by several threads.
 */
public final class MembershipService implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(3);

    private final PeerIdentity self;
    private final Supplier<SharedState> state;
    private final Function<Command, CompletableFuture<?>> submit;
    private final EventSink events;
    private final AtomicBoolean joinInFlight = new AtomicBoolean();
    private final TimerService timers;
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile boolean isLeaving;

    /** Creates the service. It joins only after {@link #start}. */
    public MembershipService(
            PeerIdentity self,
            Supplier<SharedState> state,
            Function<Command, CompletableFuture<?>> submit,
            TimerService timers,
            EventSink events) {
        this.self = self;
        this.state = state;
        this.submit = submit;
        this.events = events;
        this.timers = timers;
    }

    /** Starts joining. */
    public void start() {
        subscriptions.add(timers.every(PERIOD, this::joinIfNeeded));
    }

    /** Returns whether the shared state of this process contains it as a member. */
    public boolean isMember() {
        return findMembership().isPresent();
    }

    /** Leaves the membership. Call this when no work that this process placed is in flight. */
    public void leave() {
        isLeaving = true;
        Optional<Member> member = findMembership();
        if (member.isEmpty()) {
            return;
        }
        try {
            submit.apply(new MembershipCommand.Leave(
                            self.process(), member.get().version()))
                    .get(LEAVE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException | CicadaleadException notRecorded) {
            events.emit(
                    EventKind.LEAVE_NOT_RECORDED,
                    Optional.empty(),
                    EventDetail.of("failure", notRecorded.getMessage()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    private Optional<Member> findMembership() {
        return Optional.ofNullable(state.get().members().get(self.process()));
    }

    private void joinIfNeeded() {
        if (isLeaving || isMember() || !joinInFlight.compareAndSet(false, true)) {
            return;
        }
        submit.apply(new MembershipCommand.Join(self.process(), self.zone(), self.address(), Optional.empty()))
                .whenComplete((outcome, failure) -> joinInFlight.set(false));
    }
}
