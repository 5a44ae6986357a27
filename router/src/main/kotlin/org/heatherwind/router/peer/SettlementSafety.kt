package org.heatherwind.router.peer

/** How sure it is that a settlement will be billed. */
internal enum class SettlementSafety {
    /** It is in the log. */
    RECORDED,

    /** Enough homes keep it until the log takes it. */
    KEPT,

    /** Too few homes keep it: the deaths of two routers could lose it. */
    AT_RISK,
}
