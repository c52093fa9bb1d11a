package org.cicadalead.adapters.request;

import org.cicadalead.model.error.ErrorKind;

/** Is notified of how a request ended, before its caller is. Called at most once; safe for use by several threads. */
interface ResponseListener {
    /** Ignores every notification. */
    ResponseListener NONE = new ResponseListener() {
        @Override
        public void onResponse(StoredResponse response) {
            // Deliberately ignored.
        }

        @Override
        public void onUnstoredResponse() {
            // Deliberately ignored.
        }

        @Override
        public void onFailed(ErrorKind kind) {
            // Deliberately ignored.
        }
    };

    /** Called when the upstream responded with a response that is short enough to be stored. */
    void onResponse(StoredResponse response);

    /** Called when the upstream responded with a body that is too long to be stored. */
    void onUnstoredResponse();

    /** Called when the request failed; the kind tells whether it ran. */
    void onFailed(ErrorKind kind);
}
