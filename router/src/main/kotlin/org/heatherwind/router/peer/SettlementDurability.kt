package org.heatherwind.router.peer

/** How well a settlement is protected from loss. */
internal enum class SettlementDurability {
    /** It is in the log. */
    RECORDED,

    /** Enough routers hold it until the log accepts it. */
    KEPT,

    /** Too few routers hold it: the loss of two routers could lose it. */
    AT_RISK,
}
