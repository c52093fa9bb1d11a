package org.cicadalead.adapters.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.PeerTopic;

/**
 * A TCP connection with its handshake, its queue of outgoing frames and its calls in progress. Frames are read one at a
 * time and sealed in the order in which they are queued. No lock is held during socket operations. Safe for use by
 * several threads.
 */
final class PeerConnection {
    /** Maximum size in bytes of a frame of an authenticated peer. */
    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** Maximum size in bytes of a frame before the handshake is complete. */
    static final int MAX_HANDSHAKE_BYTES = 1024;

    private static final int MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES;

    private final AsynchronousSocketChannel channel;
    private final PeerHandshake handshake;
    private final Listener listener;
    private final PeerCounters counters;
    private final Deque<OutgoingFrame> queue = new ArrayDeque<>();
    private final Map<Long, CompletableFuture<byte[]>> calls = new ConcurrentHashMap<>();
    private final AtomicLong nextCorrelation = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final ByteBuffer header = ByteBuffer.allocate(Integer.BYTES);
    private volatile Optional<PeerHandshake.Session> session = Optional.empty();
    private final AtomicInteger callsBeingHandled = new AtomicInteger();
    private volatile long lastUsedNanoseconds;
    private FrameSealer sealer = new FrameSealer(Optional.empty());
    private int queuedBytes;
    private boolean isWriting;

    PeerConnection(
            AsynchronousSocketChannel channel, PeerHandshake handshake, Listener listener, PeerCounters counters) {
        this.channel = channel;
        this.handshake = handshake;
        this.listener = listener;
        this.counters = counters;
    }

    /** Starts reading, and sends the first challenge if this end dialed. */
    void start(boolean dialer) {
        if (dialer) {
            send(handshake.createChallenge());
        }
        readHeader();
    }

    /** Returns the identity of the other end, once it has proven it. */
    Optional<PeerIdentity> peer() {
        return session.map(PeerHandshake.Session::peer);
    }

    /** Returns the session, once the other end has proven its identity. */
    Optional<PeerHandshake.Session> session() {
        return session;
    }

    boolean isOpen() {
        return !closed.get();
    }

    /** Returns whether a call is in progress in either direction. */
    boolean isBusy() {
        return !calls.isEmpty() || callsBeingHandled.get() > 0;
    }

    /** Records that this end has started to handle a call. */
    void beginHandlingCall() {
        callsBeingHandled.incrementAndGet();
    }

    /** Records that this end has replied to a call. */
    void endHandlingCall() {
        callsBeingHandled.decrementAndGet();
    }

    long lastUsedNanoseconds() {
        return lastUsedNanoseconds;
    }

    /** Records when the connection was last used, in monotonic nanoseconds. */
    void markUsed(long nanoseconds) {
        lastUsedNanoseconds = nanoseconds;
    }

    /** Queues a message; returns false if the connection is closed, the message is too large or the queue is full. */
    boolean send(PeerMessage message) {
        return enqueue(message, Optional.empty());
    }

    /**
     * Starts a call. Its result completes as described at {@link org.cicadalead.ports.PeerChannel#call}, but without a
     * timeout.
     */
    CompletableFuture<byte[]> call(PeerTopic topic, byte[] payload) {
        long correlation = nextCorrelation.incrementAndGet();
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        calls.put(correlation, result);
        result.whenComplete((reply, failure) -> calls.remove(correlation));
        if (!enqueue(new PeerMessage.Call(correlation, topic, payload), Optional.of(correlation))) {
            result.completeExceptionally(createNotSentException());
        }
        if (closed.get()) {
            result.completeExceptionally(createConnectionLostException());
        }
        return result;
    }

    /** Completes a call in progress. A late reply to an abandoned call is ignored. */
    void complete(PeerMessage.Reply reply) {
        Optional.ofNullable(calls.get(reply.correlation())).ifPresent(call -> call.complete(reply.payload()));
    }

    /** Fails a call in progress. */
    void complete(PeerMessage.Failure failure) {
        ErrorKind kind = failure.notRun() ? ErrorKind.NO_UPSTREAM : ErrorKind.OUTCOME_UNKNOWN;
        Optional.ofNullable(calls.get(failure.correlation()))
                .ifPresent(call -> call.completeExceptionally(new CicadaleadException(kind, failure.detail())));
    }

    /** Closes the connection. Calls whose frame is still queued fail as not sent. */
    void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        try {
            channel.close();
        } catch (IOException ignored) {
            // The socket is already unusable; the calls in progress are failed below in any case.
        }
        synchronized (queue) {
            for (OutgoingFrame frame : queue) {
                frame.correlation()
                        .flatMap(correlation -> Optional.ofNullable(calls.get(correlation)))
                        .ifPresent(call -> call.completeExceptionally(createNotSentException()));
            }
            queue.clear();
        }
        calls.values().forEach(call -> call.completeExceptionally(createConnectionLostException()));
        listener.onClosed(this);
    }

    private boolean enqueue(PeerMessage message, Optional<Long> correlation) {
        byte[] payload = PeerMessageCodec.encode(message);
        Optional<OutgoingFrame> first;
        synchronized (queue) {
            int size = Integer.BYTES + payload.length + sealer.overheadBytes();
            if (closed.get() || size > MAX_FRAME_BYTES || (queuedBytes > 0 && queuedBytes + size > MAX_QUEUED_BYTES)) {
                return false;
            }
            ByteBuffer frame = ByteBuffer.allocate(size).putInt(size - Integer.BYTES);
            sealer.seal(payload, frame);
            queue.addLast(new OutgoingFrame(frame.flip(), size, correlation));
            queuedBytes += size;
            first = takeNextFrame();
        }
        first.ifPresent(this::write);
        return true;
    }

    /** Takes the next frame, unless one is being written. The caller must hold the queue's monitor. */
    private Optional<OutgoingFrame> takeNextFrame() {
        if (isWriting || queue.isEmpty()) {
            return Optional.empty();
        }
        isWriting = true;
        return Optional.of(queue.removeFirst());
    }

    private void write(OutgoingFrame frame) {
        channel.write(frame.bytes(), frame, new CompletionHandler<Integer, OutgoingFrame>() {
            @Override
            public void completed(Integer count, OutgoingFrame written) {
                counters.bytesSent.add(count);
                if (written.bytes().hasRemaining()) {
                    write(written);
                    return;
                }
                counters.framesSent.increment();
                onWritten(written);
            }

            @Override
            public void failed(Throwable failure, OutgoingFrame frame) {
                close();
            }
        });
    }

    private void onWritten(OutgoingFrame written) {
        Optional<OutgoingFrame> next;
        synchronized (queue) {
            queuedBytes -= written.size();
            isWriting = false;
            next = takeNextFrame();
        }
        next.ifPresent(this::write);
    }

    private void readHeader() {
        header.clear();
        read(header, () -> {
            int length = header.getInt(0);
            int maximum = session.isPresent() ? MAX_FRAME_BYTES : MAX_HANDSHAKE_BYTES;
            if (length < 1 || length > maximum) {
                throw new MalformedFrameException("frame of " + length + " bytes");
            }
            ByteBuffer body = ByteBuffer.allocate(length);
            read(body, () -> {
                onFrame(body.array());
                readHeader();
            });
        });
    }

    private void read(ByteBuffer buffer, Runnable whenFull) {
        channel.read(buffer, buffer, new CompletionHandler<Integer, ByteBuffer>() {
            @Override
            public void completed(Integer count, ByteBuffer filled) {
                if (count < 0) {
                    close();
                    return;
                }
                counters.bytesReceived.add(count);
                if (filled.hasRemaining()) {
                    read(filled, whenFull);
                } else {
                    runGuarded(whenFull);
                }
            }

            @Override
            public void failed(Throwable failure, ByteBuffer buffer) {
                close();
            }
        });
    }

    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (MalformedFrameException malformed) {
            counters.framesRejected.increment();
            listener.onFrameRejected(this, malformed.getMessage());
            close();
        } catch (PeerHandshake.AuthenticationException unauthenticated) {
            counters.authenticationFailures.increment();
            listener.onAuthenticationFailed(this);
            close();
        } catch (RuntimeException internalFailure) {
            listener.onFrameRejected(this, "internal failure: " + internalFailure);
            close();
        }
    }

    private void onFrame(byte[] frame) {
        counters.framesReceived.increment();
        if (session.isPresent()) {
            int length = session.get().receiving().open(frame);
            listener.onMessage(this, PeerMessageCodec.decode(frame, length));
            return;
        }
        PeerHandshake.Step step = handshake.onMessage(PeerMessageCodec.decode(frame, frame.length));
        step.reply().ifPresent(this::send);
        if (step.session().isPresent()) {
            synchronized (queue) {
                sealer = step.session().get().sending();
            }
            session = step.session();
            listener.onEstablished(this, step.session().get().peer());
        }
    }

    private static CicadaleadException createNotSentException() {
        return new CicadaleadException(ErrorKind.NO_UPSTREAM, "The call was not sent to the entry process");
    }

    private static CicadaleadException createConnectionLostException() {
        return new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The connection to the entry process was lost");
    }

    /**
     * A queued frame.
     *
     * @param bytes the bytes that are still to be written
     * @param size total size of the frame in bytes
     * @param correlation identifier of the call that it carries, if any
     */
    private record OutgoingFrame(ByteBuffer bytes, int size, Optional<Long> correlation) {}

    /** Receives the events of connections. Called by the channel's threads; must not block. */
    interface Listener {
        /** Called when the other end has proven its identity. */
        void onEstablished(PeerConnection connection, PeerIdentity peer);

        /** Called for each received message. */
        void onMessage(PeerConnection connection, PeerMessage message);

        /** Called when a frame violated the protocol or could not be handled; the connection is then closed. */
        void onFrameRejected(PeerConnection connection, String reason);

        /** Called when the other end did not prove that it holds a shared key. */
        void onAuthenticationFailed(PeerConnection connection);

        /** Called once when the connection is closed. */
        void onClosed(PeerConnection connection);
    }
}
