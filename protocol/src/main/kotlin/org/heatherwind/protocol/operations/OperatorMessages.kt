package org.heatherwind.protocol.operations

import kotlinx.serialization.Serializable

/** Creates a budget, or adds a key to an existing one. [keyDigest] is the SHA-256 of the API key, in hexadecimal. */
@Serializable
public data class BudgetMessage(val budget: String, val customer: String, val keyDigest: String)

/** Adds [tokens] to a budget. Idempotent: a repetition with the same [topUpKey] has no effect. */
@Serializable
public data class TopUpMessage(val tokens: Long, val topUpKey: String)

/**
 * State of a budget according to the ledger. All counts are tokens.
 *
 * @property prepaid sum of all top-ups
 * @property spent sum of all charges
 * @property available neither spent nor granted
 * @property quarantined remaining in grants of holders that ended without a graceful stop
 * @property shortfall charged without a grant or available tokens to cover it; should be 0
 */
@Serializable
public data class BudgetReport(
    val budget: String,
    val customer: String,
    val prepaid: Long,
    val spent: Long,
    val available: Long,
    val grants: List<GrantReport>,
    val quarantined: Long,
    val shortfall: Long,
)

/** Tokens remaining in the grant of one holder, and whether the grant is quarantined. */
@Serializable
public data class GrantReport(val holder: String, val remaining: Long, val isQuarantined: Boolean)

/** Publishes a configuration derived from version [base]. [document] is JSON with comments. */
@Serializable
public data class PublishMessage(val base: Long, val publisher: String, val changeKey: String, val document: String)

/** Outcome of publishing a configuration. [code] is the number of a result code, [version] the one now in force. */
@Serializable
public data class PublishReport(val code: Int, val version: Long, val publisher: String, val problems: List<String>)

/** The configuration in force. */
@Serializable
public data class ConfigurationReport(val version: Long, val publisher: String, val document: String)

/**
 * State of one router.
 *
 * @property settlementsWaiting settlements not yet recorded in the log
 * @property routers live routers in this router's view of the fleet
 * @property shards ledger shards that this router follows
 */
@Serializable
public data class StatusReport(
    val instance: String,
    val incarnation: String,
    val isReady: Boolean,
    val isDraining: Boolean,
    val configurationVersion: Long,
    val requestsInProgress: Int,
    val settlementsWaiting: Int,
    val routers: List<String>,
    val shards: List<ShardReport>,
)

/**
 * State of one ledger shard that a router follows.
 *
 * @property through offset of the last ledger record applied
 * @property openRequests requests that hold a reservation
 * @property unconfirmedRecords records appended or to be appended, but not yet read back from the log
 * @property isLogFailing whether the last append to the log failed
 * @property quarantinedHolders holders whose grants are quarantined
 */
@Serializable
public data class ShardReport(
    val shard: Int,
    val through: Long,
    val budgets: Int,
    val openRequests: Int,
    val unconfirmedRecords: Int,
    val isLogFailing: Boolean,
    val quarantinedHolders: List<String>,
)
