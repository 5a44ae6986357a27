package org.heatherwind.router.settings

import org.heatherwind.protocol.document.DocumentProblem

/** Validation rules for a router's settings. */
internal object RouterSettingsRules {
    private const val MAXIMUM_PORT = 65_535L
    private const val MAXIMUM_SHARDS = 1_024L
    private const val MAXIMUM_INTERVAL_MILLISECONDS = 5_000L
    private const val MAXIMUM_DRAIN_DEADLINE_SECONDS = 3_600L
    private const val MAXIMUM_BODY_BYTES = 64L * 1_048_576
    private const val MAXIMUM_SNAPSHOT_INTERVAL_RECORDS = 1_000_000L
    private val DIGEST = Regex("[0-9a-f]{64}")

    /** Returns all violations of the rules in [settings]. */
    fun problemsOf(settings: RouterSettings): List<DocumentProblem> = listOfNotNull(
        range("callers.port", settings.callers.port.toLong(), 0..MAXIMUM_PORT),
        range("peers.port", settings.peers.port.toLong(), 0..MAXIMUM_PORT),
        range("operators.port", settings.operators.port.toLong(), 0..MAXIMUM_PORT),
        range("ledgerShards", settings.ledgerShards.toLong(), 1..MAXIMUM_SHARDS),
        range("batchIntervalMilliseconds", settings.batchIntervalMilliseconds, 1..MAXIMUM_INTERVAL_MILLISECONDS),
        range("snapshotIntervalRecords", settings.snapshotIntervalRecords, 1..MAXIMUM_SNAPSHOT_INTERVAL_RECORDS),
        range("drainDeadlineSeconds", settings.drainDeadlineSeconds.toLong(), 1..MAXIMUM_DRAIN_DEADLINE_SECONDS),
        range("maximumBodyBytes", settings.maximumBodyBytes.toLong(), 1..MAXIMUM_BODY_BYTES),
        rule("instance", settings.instance.value.isNotBlank(), "a name"),
        rule(
            "peerToken",
            settings.peerToken.length >= MINIMUM_TOKEN_CHARACTERS,
            "at least $MINIMUM_TOKEN_CHARACTERS characters",
        ),
        rule("operatorTokenDigest", DIGEST.matches(settings.operatorTokenDigest.hexadecimal), "64 hexadecimal digits"),
        rule("logService", isAddress(settings.logService), "an http or https address"),
        rule("instanceList", isAddress(settings.instanceList), "an http or https address"),
    )

    private fun isAddress(address: String) = address.startsWith("http://") || address.startsWith("https://")

    private fun range(path: String, value: Long, allowed: LongRange) =
        rule(path, value in allowed, "${allowed.first} to ${allowed.last}")

    private fun rule(path: String, isSatisfied: Boolean, expected: String): DocumentProblem? =
        if (isSatisfied) null else DocumentProblem(path, line = 0, detail = "expected $expected")

    private const val MINIMUM_TOKEN_CHARACTERS = 8
}
