package myrtleladder.controlplane.model;

import java.util.function.Consumer;
import myrtleladder.controlplane.WholeAnswerCall;
import myrtleladder.http.Headers;
import myrtleladder.http.RequestHead;

/** A call at a control address whose answer is handed over once, whole. */
final class ModelCall extends WholeAnswerCall {
    private final Consumer<ModelAnswer> answered;

    ModelCall(RequestHead head, byte[] body, Consumer<ModelAnswer> answered) {
        super(head, body);
        this.answered = answered;
    }

    @Override
    public void respond(int status, Headers headers, byte[] bytes) {
        String location = headers.get("Location");
        answered.accept(new ModelAnswer(status, location == null ? "" : location, bytes));
    }

    @Override
    public void abort() {
        // the caller hears nothing and gives up by itself
    }
}
