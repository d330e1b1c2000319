package myrtleladder.protocol;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.List;

/** Encodes messages: one byte for the type, then the fields as Protostuff. Thread-safe. */
public final class MessageCodec {
    /** Message types by their type byte; new ones are added at the end. */
    private static final List<Class<? extends Message>> TYPES =
            List.of(
                    StoredState.class,
                    PrepareRequest.class,
                    PrepareResponse.class,
                    InstallStateRequest.class,
                    AcceptViewRequest.class,
                    ReplicateRequest.class,
                    HeartbeatRequest.class,
                    ResignRequest.class,
                    AcknowledgeResponse.class,
                    JoinRequest.class,
                    JoinResponse.class,
                    ShareInstancesRequest.class,
                    PollRequest.class,
                    PollResponse.class,
                    QuotaRequest.class,
                    QuotaResponse.class,
                    BalancerHeartbeat.class,
                    LeaveRequest.class,
                    LeaveResponse.class,
                    TallyBatch.class,
                    TallySyncRequest.class,
                    TallySyncResponse.class);

    /** Bytes of a buffer of the encoder, which adds further ones as needed. */
    private static final int BUFFER_BYTES = 1_024;

    private MessageCodec() {}

    /** Encodes a message into a new array. */
    public static byte[] encode(Message message) {
        int type = TYPES.indexOf(message.getClass());
        byte[] fields = encodeFields(message);
        byte[] bytes = new byte[fields.length + 1];
        bytes[0] = (byte) type;
        System.arraycopy(fields, 0, bytes, 1, fields.length);
        return bytes;
    }

    @SuppressWarnings("unchecked")
    private static <T extends Message> byte[] encodeFields(T message) {
        Schema<T> schema = RuntimeSchema.getSchema((Class<T>) message.getClass());
        return ProtostuffIOUtil.toByteArray(message, schema, LinkedBuffer.allocate(BUFFER_BYTES));
    }

    /**
     * Decodes a message; the array is not kept.
     *
     * @throws MessageFormatException if the type is unknown or the fields can't be read
     */
    public static Message decode(byte[] bytes) {
        if (bytes.length == 0 || bytes[0] < 0 || bytes[0] >= TYPES.size()) {
            throw new MessageFormatException("unknown type of message", null);
        }
        try {
            return decodeFields(TYPES.get(bytes[0]), bytes);
        } catch (RuntimeException e) { // the library throws several kinds for malformed input
            throw new MessageFormatException("fields can't be read: " + e.getMessage(), e);
        }
    }

    private static <T extends Message> T decodeFields(Class<T> type, byte[] bytes) {
        Schema<T> schema = RuntimeSchema.getSchema(type);
        T message = schema.newMessage();
        ProtostuffIOUtil.mergeFrom(bytes, 1, bytes.length - 1, message, schema);
        return message;
    }
}
