package org.heatherwind.protocol.record

import arrow.core.Either
import org.heatherwind.core.configuration.ConfigurationPublished
import org.heatherwind.core.configuration.ConfigurationRecord
import org.heatherwind.core.configuration.FleetConfiguration
import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.AttemptClaimed
import org.heatherwind.core.ledger.AttemptFinished
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.BudgetCreated
import org.heatherwind.core.ledger.GrantRequested
import org.heatherwind.core.ledger.GrantReturned
import org.heatherwind.core.ledger.HolderGone
import org.heatherwind.core.ledger.HolderReleased
import org.heatherwind.core.ledger.KeyAdded
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.RequestOpened
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.ledger.SnapshotTaken
import org.heatherwind.core.ledger.ToppedUp
import org.heatherwind.core.ledger.toSnapshot
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Given records, when encoded and decoded, then they are unchanged; when damaged, then decoding returns an error. */
class RecordCodecTest {
    private val budget = BudgetId("studio")
    private val holder = Incarnation("router@1")
    private val reservation = ReservationId("r")
    private val request = RequestKey("k")
    private val records = listOf(
        BudgetCreated(budget, CustomerId("guild")),
        KeyAdded(budget, Digest("ab")),
        ToppedUp(budget, 100, "first"),
        GrantRequested(budget, holder, 10, 1, 5),
        GrantReturned(budget, holder, 3),
        RequestOpened(budget, holder, reservation, request, 7, holder, Timestamp(4)),
        RequestSettled(budget, holder, reservation, request, 7, SettlementOutcome.INTERRUPTED),
        AttemptClaimed(AttemptKey("a"), Digest("b"), reservation),
        AttemptFinished(AttemptKey("a"), reservation, AttemptOutcome.Answered(200, "{}")),
        AttemptFinished(AttemptKey("a"), reservation, AttemptOutcome.Unknown),
        AttemptFinished(AttemptKey("a"), reservation, AttemptOutcome.NotRun),
        HolderGone(holder, Timestamp(5)),
        HolderReleased(holder),
    )
    private val state = LedgerFold.fold(LedgerState(), 0, LedgerBatch(holder, 1, records)).state
    private val batch = LedgerBatch(holder, 1, records + SnapshotTaken(state.toSnapshot()))

    @Test
    fun `given every type of record, when encoded and decoded, then it is unchanged`() {
        val codec = RecordCodec.ledgerBatch
        assertEquals(Either.Right(batch), codec.decode(codec.encode(batch)))
    }

    @Test
    fun `given a configuration change, when encoded and decoded, then it is unchanged`() {
        val codec = RecordCodec.configurationRecord
        val change: ConfigurationRecord = ConfigurationPublished(3, "anna", "key", FleetConfiguration())
        assertEquals(Either.Right(change), codec.decode(codec.encode(change)))
    }

    @Test
    fun `given truncated or altered bytes, when decoded, then an error is returned`() {
        val bytes = RecordCodec.ledgerBatch.encode(batch)
        repeat(20_000) { seed ->
            val random = Random(seed)
            val damaged = bytes.copyOf(random.nextInt(bytes.size + 1))
            val isTruncated = damaged.size < bytes.size
            if (!isTruncated) damaged[random.nextInt(damaged.size)] = (random.nextInt(255) + 1).toByte()
            if (damaged.contentEquals(bytes)) return@repeat
            assertIs<Either.Left<RecordError>>(RecordCodec.ledgerBatch.decode(damaged), "seed $seed")
        }
    }

    @Test
    fun `given random bodies with a valid checksum, when decoded, then nothing is thrown`() {
        repeat(20_000) { seed ->
            val random = Random(seed)
            val body = random.nextBytes(random.nextInt(200))
            val crc = java.util.zip.CRC32C().apply { update(body) }.value.toInt()
            val bytes = java.nio.ByteBuffer.allocate(5 + body.size).put(1).putInt(crc).put(body).array()
            RecordCodec.ledgerBatch.decode(bytes)
            RecordCodec.ledgerSnapshot.decode(bytes)
            RecordCodec.configurationRecord.decode(bytes)
        }
    }
}
