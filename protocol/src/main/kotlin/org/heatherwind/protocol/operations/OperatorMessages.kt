package org.heatherwind.protocol.operations

import kotlinx.serialization.Serializable

/** Creates a budget, or adds a key to one. [keyDigest] is the SHA-256 of the API key. */
@Serializable
public data class BudgetMessage(val budget: String, val customer: String, val keyDigest: String)

/** Adds [tokens] to a budget; a repeat with the same [topUpKey] changes nothing. */
@Serializable
public data class TopUpMessage(val tokens: Long, val topUpKey: String)

/** What the log's order says of a budget. Counts are tokens. */
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

/** Tokens left of one holder's grant. */
@Serializable
public data class GrantReport(val holder: String, val remaining: Long, val isQuarantined: Boolean)

/** A change of configuration made from version [base]; [document] is JSON with comments. */
@Serializable
public data class PublishMessage(val base: Long, val publisher: String, val changeKey: String, val document: String)

/** What became of a change. [code] is a result code's number, [version] the version now in force. */
@Serializable
public data class PublishReport(val code: Int, val version: Long, val publisher: String, val problems: List<String>)

/** The configuration in force. */
@Serializable
public data class ConfigurationReport(val version: Long, val publisher: String, val document: String)

/** One router's state. */
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

/** One followed ledger shard. */
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
