package org.heatherwind.core.owner

/**
 * What an operator can set of a holder's decisions.
 *
 * @property refillHorizonSeconds seconds of a side's recent demand that its grant should cover, the length of a
 * partition it is meant to last through
 * @property keepHorizonSeconds seconds of demand that a holder keeps when others ask for its idle tokens
 * @property maximumQueuedSettlements settlements that may wait for the log before admission stops
 * @property interruptionGraceMilliseconds time after a request's deadline before its holder
 * settles it without word from its entry and without word that the entry is gone
 * @property quarantineMilliseconds shortest time for which a gone holder's grants stay quarantined; longer than the
 * longest request deadline and the lag of the instance list together
 */
public data class OwnerSettings(
    val refillHorizonSeconds: Long = 1_200,
    val keepHorizonSeconds: Long = 10,
    val maximumQueuedSettlements: Int = 50_000,
    val interruptionGraceMilliseconds: Long = 900_000,
    val quarantineMilliseconds: Long = 300_000,
)
