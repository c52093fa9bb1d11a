package org.cicadalead.adapters.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class SystemTimerServiceTest {
    @Test
    void acceptsSubscriptionsAfterCloseWithoutCallback() {
        SystemTimerService timers = new SystemTimerService(failure -> {});
        AtomicBoolean isCalled = new AtomicBoolean();
        timers.close();
        timers.after(Duration.ZERO, () -> isCalled.set(true)).close();
        assertFalse(isCalled.get());
    }

    @Test
    void reportsThrowingCallbackAndRunsNext() throws InterruptedException {
        List<Throwable> failures = new CopyOnWriteArrayList<>();
        try (SystemTimerService timers = new SystemTimerService(failures::add)) {
            CountDownLatch nextCallback = new CountDownLatch(1);
            timers.after(Duration.ZERO, () -> CompletableFuture.failedFuture(new IllegalStateException("broken"))
                    .join());
            timers.after(Duration.ofMillis(1), nextCallback::countDown);
            nextCallback.await();
        }
        assertEquals(1, failures.size());
    }
}
