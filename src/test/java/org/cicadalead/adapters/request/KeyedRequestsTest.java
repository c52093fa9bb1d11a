package org.cicadalead.adapters.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.bench.requests.SyntheticFleet;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.support.CallerFixture;
import org.cicadalead.support.FakePeerNetwork;
import org.cicadalead.support.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends requests with the same idempotency key through several entry processes and checks how often the worker ran
 * them.
 */
class KeyedRequestsTest {
    private static final int KEYS = 12;

    private final FakePeerNetwork network = new FakePeerNetwork();
    private final FakeUpstream upstream = new FakeUpstream((socket, number) -> {
        String text = "run-" + number;
        FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        return true;
    });
    private final AtomicReference<SharedState> state = new AtomicReference<>(CallerFixture.createState(upstream));
    private final List<CallerFixture> entries = new ArrayList<>();

    @BeforeEach
    void startThreeEntries() {
        for (String name : List.of("a", "b", "c")) {
            join(name);
        }
        for (String name : List.of("a", "b", "c")) {
            entries.add(entry(name));
        }
        awaitReady();
    }

    @AfterEach
    void close() {
        entries.forEach(CallerFixture::close);
        upstream.close();
    }

    @Test
    void resentRequestRunsOnceThroughAnyEntryProcess() {
        for (int key = 0; key < KEYS; key++) {
            String firstResponse = post(0, "key-" + key, "body").body();
            assertEquals(firstResponse, post(1, "key-" + key, "body").body());
            assertEquals(firstResponse, post(2, "key-" + key, "body").body());
        }
        assertEquals(KEYS, upstream.requestHeads().size());
    }

    @Test
    void rejectsDifferentRequestWithUsedKey() {
        post(0, "key", "body");
        assertEquals(422, post(1, "key", "other body").statusCode());
        assertEquals(1, upstream.requestHeads().size());
    }

    @Test
    void keyRunsOnceWhenEntryProcessJoins() {
        List<String> firstResponse = new ArrayList<>();
        for (int key = 0; key < KEYS; key++) {
            firstResponse.add(post(0, "key-" + key, "body").body());
        }
        join("d");
        entries.add(entry("d"));
        awaitReady();
        for (int key = 0; key < KEYS; key++) {
            assertEquals(firstResponse.get(key), post(3, "key-" + key, "body").body());
        }
        assertEquals(KEYS, upstream.requestHeads().size());
    }

    @Test
    void keyIsUnknownAndNotRunAgainAfterHomeLeaves() {
        for (int key = 0; key < KEYS; key++) {
            post(1, "key-" + key, "body");
        }
        network.cutOff(new ProcessIdentifier("a"));
        state.set(SyntheticFleet.withoutMember(state.get(), new ProcessIdentifier("a")));
        int unknownCount = 0;
        for (int key = 0; key < KEYS; key++) {
            HttpResponse<String> repeated = post(2, "key-" + key, "body");
            unknownCount += repeated.statusCode() == 409 ? 1 : 0;
            assertTrue(
                    repeated.statusCode() == 200 || repeated.body().contains("key-history-unknown"), repeated.body());
        }
        assertTrue(unknownCount > 0 && unknownCount < KEYS, "unknown: " + unknownCount);
        assertEquals(KEYS, upstream.requestHeads().size());
    }

    @Test
    void keyIsUnknownAndNotRunWhileHomeIsUnreachable() {
        network.cutOff(new ProcessIdentifier("a"));
        for (int key = 0; key < KEYS; key++) {
            HttpResponse<String> response = post(1, "key-" + key, "body");
            assertTrue(
                    response.statusCode() == 200 || response.body().contains("key-history-unknown"), response.body());
        }
        assertTrue(upstream.requestHeads().size() < KEYS);
    }

    @Test
    void lostReplyFromHomeRunsNothing() {
        network.setRepliesLost(PeerTopic.KEYED_REQUEST, true);
        int successCount = 0;
        for (int key = 0; key < KEYS; key++) {
            successCount += post(0, "key-" + key, "body").statusCode() == 200 ? 1 : 0;
        }
        assertEquals(successCount, upstream.requestHeads().size());
        assertTrue(successCount < KEYS);
    }

    private HttpResponse<String> post(int entry, String key, String body) {
        return entries.get(entry).post(body, "Idempotency-Key", key);
    }

    private void join(String name) {
        state.updateAndGet(
                current -> SyntheticFleet.withMember(current, new ProcessIdentifier(name), SyntheticFleet.zone(0)));
    }

    private CallerFixture entry(String name) {
        ProcessIdentifier process = new ProcessIdentifier(name);
        return new CallerFixture(
                process, state, Optional.empty(), Optional.of(network.channel(process, SyntheticFleet.zone(0))));
    }

    private void awaitReady() {
        while (!entries.stream().allMatch(entry -> entry.server().isReady())) {
            Thread.onSpinWait();
        }
    }
}
