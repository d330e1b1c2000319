package myrtleladder.loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import myrtleladder.error.OperatorError.InvalidInput;
import myrtleladder.loadbalancer.settings.SettingsReader;

/**
 * Parses one batch, a line of JSON with the current time and an array of events, and dispatches the
 * events in order. Confined to the adapter's thread.
 */
final class BatchReader {
    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION).build();

    /** Name of the field with the current time in seconds. */
    private static final String TIME_FIELD = "moment-s";

    /** Name of the field with the events. */
    private static final String EVENTS_FIELD = "input";

    private final EventDispatcher dispatcher;

    BatchReader(EventDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Parses the batch in the first {@code length} bytes of {@code line}.
     *
     * @throws InvalidInput if the batch is malformed; events before the malformed one have already
     *     been dispatched
     * @throws IOException declared by the parser; does not occur for input in memory
     */
    void read(byte[] line, int length) throws InvalidInput, IOException {
        double nowS = Double.NaN;
        boolean areEventsFirst = false;
        boolean hasEvents = false;
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInput("not a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                if (name.equals(TIME_FIELD) && value.isNumeric()) {
                    nowS = json.getDoubleValue();
                } else if (name.equals(EVENTS_FIELD) && value == JsonToken.START_ARRAY) {
                    hasEvents = true;
                    areEventsFirst = Double.isNaN(nowS);
                    if (areEventsFirst) {
                        json.skipChildren();
                    } else {
                        dispatchEvents(json, SettingsReader.toMicros(nowS));
                    }
                } else {
                    json.skipChildren();
                }
            }
            if (json.nextToken() != null) {
                throw new InvalidInput("text after the end of the batch");
            }
        } catch (JsonProcessingException e) {
            throw new InvalidInput(
                    "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        if (Double.isNaN(nowS)) {
            throw new InvalidInput("no clock (moment-s)");
        }
        if (!hasEvents) {
            throw new InvalidInput("no array of events (input)");
        }
        if (areEventsFirst) {
            dispatchSkippedEvents(line, length, SettingsReader.toMicros(nowS));
        }
    }

    /**
     * Dispatches the events of a batch whose time field comes after them. The first pass skipped
     * them, because the time was not known yet.
     */
    private void dispatchSkippedEvents(byte[] line, int length, long nowUs)
            throws InvalidInput, IOException {
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean isEvents = json.currentName().equals(EVENTS_FIELD);
                json.nextToken();
                if (isEvents) {
                    dispatchEvents(json, nowUs);
                } else {
                    json.skipChildren();
                }
            }
        }
    }

    private void dispatchEvents(JsonParser json, long nowUs) throws InvalidInput, IOException {
        while (json.nextToken() == JsonToken.START_OBJECT) {
            dispatcher.dispatch(EventReader.read(json), nowUs);
        }
        if (json.currentToken() != JsonToken.END_ARRAY) {
            throw new InvalidInput("an event that is not an object");
        }
    }
}
