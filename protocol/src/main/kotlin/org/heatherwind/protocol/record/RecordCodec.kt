package org.heatherwind.protocol.record

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import org.heatherwind.core.configuration.ConfigurationRecord
import org.heatherwind.core.configuration.ConfigurationVersion
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerSnapshot
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Reasons why bytes cannot be decoded as a record. */
public sealed interface RecordError {
    /** The input is shorter than the record header. */
    public data object Truncated : RecordError

    /** The format byte is [format], which this version does not support. */
    public data class UnknownFormat(val format: Int) : RecordError

    /** The checksum of the body does not match. */
    public data object ChecksumMismatch : RecordError

    /** The checksum matches, but the body is not a valid record of the expected type. */
    public data class InvalidBody(val detail: String) : RecordError
}

/**
 * Encodes and decodes records of one type.
 *
 * Layout: one format byte, the CRC-32C of the body in four bytes (big-endian), then the body in Protocol Buffers.
 */
@OptIn(ExperimentalSerializationApi::class)
public class RecordCodec<T> private constructor(private val serializer: KSerializer<T>) {
    /** Encodes [value] with its header. */
    public fun encode(value: T): ByteArray {
        val body = ProtoBuf.encodeToByteArray(serializer, value)
        return ByteBuffer.allocate(HEADER_BYTES + body.size)
            .put(FORMAT_VERSION)
            .putInt(checksum(body))
            .put(body)
            .array()
    }

    /** Decodes [bytes]. Never throws on invalid input. */
    public fun decode(bytes: ByteArray): Either<RecordError, T> {
        if (bytes.size < HEADER_BYTES) return RecordError.Truncated.left()
        val buffer = ByteBuffer.wrap(bytes)
        val format = buffer.get()
        if (format != FORMAT_VERSION) return RecordError.UnknownFormat(format.toInt()).left()
        val expected = buffer.getInt()
        val body = bytes.copyOfRange(HEADER_BYTES, bytes.size)
        if (checksum(body) != expected) return RecordError.ChecksumMismatch.left()
        return decodeBody(body)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun decodeBody(body: ByteArray): Either<RecordError, T> = try {
        ProtoBuf.decodeFromByteArray(serializer, body).right()
    } catch (failure: RuntimeException) {
        RecordError.InvalidBody(failure.message.orEmpty()).left()
    }

    private fun checksum(body: ByteArray): Int = CRC32C().apply { update(body) }.value.toInt()

    public companion object {
        private const val FORMAT_VERSION: Byte = 1
        private const val HEADER_BYTES = 5

        /** Batches in the stream of a ledger shard. */
        public val ledgerBatch: RecordCodec<LedgerBatch> = RecordCodec(LedgerBatch.serializer())

        /** Snapshots of a ledger shard's state. */
        public val ledgerSnapshot: RecordCodec<LedgerSnapshot> = RecordCodec(LedgerSnapshot.serializer())

        /** Records in the configuration stream. */
        public val configurationRecord: RecordCodec<ConfigurationRecord> =
            RecordCodec(ConfigurationRecord.serializer())

        /** A configuration in force, as routers send it to each other. */
        public val configurationVersion: RecordCodec<ConfigurationVersion> =
            RecordCodec(ConfigurationVersion.serializer())
    }
}
