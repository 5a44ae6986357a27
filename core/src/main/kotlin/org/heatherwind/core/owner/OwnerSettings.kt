package org.heatherwind.core.owner

/**
 * Settings of a shard owner's decisions.
 *
 * @property refillHorizonSeconds expected demand that a grant should cover, in seconds; equal to the longest network
 * partition during which a holder should be able to keep admitting requests
 * @property surplusHorizonSeconds expected demand, in seconds, that a holder retains when others request its free
 * tokens
 * @property maximumQueuedSettlements number of settlements not yet read from the log at which new requests are refused
 * @property interruptionGraceMilliseconds time after a request's deadline before its holder settles it as interrupted,
 * although its entry router has neither reported its end nor been declared gone
 * @property quarantineMilliseconds shortest quarantine of the grants of a holder that was declared gone; longer than
 * the sum of the longest request deadline and the lag of the instance list
 */
public data class OwnerSettings(
    val refillHorizonSeconds: Long = 1_200,
    val surplusHorizonSeconds: Long = 10,
    val maximumQueuedSettlements: Int = 50_000,
    val interruptionGraceMilliseconds: Long = 900_000,
    val quarantineMilliseconds: Long = 300_000,
)
