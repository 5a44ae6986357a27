package org.heatherwind.router.settings

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.protocol.document.DocumentProblem
import org.heatherwind.protocol.document.DocumentReader

/** The IP address and port of a listener; port 0 selects a free port. */
@Serializable
public data class ListenerSettings(val host: String = "127.0.0.1", val port: Int)

/**
 * The settings of one router process, read at its start.
 *
 * @property logService base URL of the platform's log service
 * @property instanceList base URL of the platform's instance list
 * @property peerToken shared secret with which routers authenticate to each other
 * @property operatorTokenDigest SHA-256 of the operator token, in hexadecimal
 * @property ledgerShards number of ledger streams; must be the same on every router and must never change
 * @property batchIntervalMilliseconds pause between two appends to one stream
 * @property snapshotIntervalRecords log records between snapshots of a shard; must be below half of the log's retention
 * @property drainDeadlineSeconds the longest time that a shutdown waits for requests in progress and their settlements
 * @property maximumBodyBytes size of the largest accepted request body
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
        /** Parses settings from [text], JSON with comments; returns all problems if there are any. */
        public fun parse(text: String): Either<List<DocumentProblem>, RouterSettings> =
            DocumentReader.read(serializer(), text, RouterSettingsRules::problemsOf)
    }
}
