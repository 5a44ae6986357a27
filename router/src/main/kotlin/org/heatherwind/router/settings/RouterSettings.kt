package org.heatherwind.router.settings

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.protocol.document.DocumentProblem
import org.heatherwind.protocol.document.DocumentReader

/** A listener's host, by IP number, and port; port 0 takes a free one. */
@Serializable
public data class ListenerSettings(val host: String = "127.0.0.1", val port: Int)

/**
 * What one router process is told at its start.
 *
 * @property logService address of the platform's log service
 * @property instanceList address of the platform's instance list
 * @property peerToken secret that routers show each other
 * @property operatorTokenDigest SHA-256 of the token that operators show
 * @property ledgerShards number of ledger streams, the same on every router, never changed
 * @property batchIntervalMilliseconds pause between two appends to one stream
 * @property snapshotIntervalRecords records between snapshots; must stay under half of the log's retention
 * @property drainDeadlineSeconds longest time that a stop waits for requests in progress
 * @property maximumBodyBytes largest accepted request body
 */
@Serializable
public data class RouterSettings(
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    val callers: ListenerSettings,
    val peers: ListenerSettings,
    val operators: ListenerSettings,
    val logService: String,
    val instanceList: String,
    val peerToken: String,
    val operatorTokenDigest: Digest,
    val ledgerShards: Int = 4,
    val batchIntervalMilliseconds: Long = 45,
    val snapshotIntervalRecords: Long = 2_000,
    val drainDeadlineSeconds: Int = 30,
    val maximumBodyBytes: Int = 1_048_576,
) {
    public companion object {
        /** The settings in [text], JSON with comments, or all faults. */
        public fun parse(text: String): Either<List<DocumentProblem>, RouterSettings> =
            DocumentReader.read(serializer(), text, RouterSettingsRules::problemsOf)
    }
}
