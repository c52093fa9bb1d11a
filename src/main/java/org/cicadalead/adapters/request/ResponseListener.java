package org.cicadalead.adapters.request;

import org.cicadalead.model.error.ErrorKind;

/** Learns how a request ended, before its caller does. Called at most once; safe for use by several threads. */
interface ResponseListener {
    /** Takes no notice. */
    ResponseListener NONE = new ResponseListener() {
        @Override
        public void onResponse(StoredResponse answer) {
            // Nobody needs to know.
        }

        @Override
        public void onUnstoredResponse() {
            // Nobody needs to know.
        }

        @Override
        public void onFailed(ErrorKind kind) {
            // Nobody needs to know.
        }
    };

    /** The upstream answered, and the answer is short enough to be kept. */
    void onResponse(StoredResponse answer);

    /** The upstream answered with a body that is not kept. */
    void onUnstoredResponse();

    /** The request failed; the kind says whether it ran. */
    void onFailed(ErrorKind kind);
}
