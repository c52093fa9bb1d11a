package org.cicadalead.adapters.http;

import java.net.http.HttpClient;
import java.security.KeyManagementException;
import java.security.SecureRandom;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * Creates HTTP clients for connections without TLS. The JDK's client loads the trusted certificates when it is created,
 * which takes a large part of the start of a process. Stateless and thread-safe.
 */
public final class PlaintextHttpClients {
    private PlaintextHttpClients() {}

    /** Returns a builder of clients that use HTTP/1.1 without TLS or a proxy; requests to https addresses fail. */
    public static HttpClient.Builder newBuilder() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .proxy(HttpClient.Builder.NO_PROXY)
                .sslContext(new UnsupportedContext())
                .sslParameters(new SSLParameters());
    }

    private static final class UnsupportedContext extends SSLContext {
        UnsupportedContext() {
            super(new UnsupportedContextSpi(), null, "none");
        }
    }

    private static final class UnsupportedContextSpi extends SSLContextSpi {
        private static UnsupportedOperationException createException() {
            return new UnsupportedOperationException("This client does not support TLS");
        }

        @Override
        protected void engineInit(KeyManager[] keyManagers, TrustManager[] trustManagers, SecureRandom random)
                throws KeyManagementException {
            throw createException();
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            throw createException();
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            throw createException();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            throw createException();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            throw createException();
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            throw createException();
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            throw createException();
        }
    }
}
