package org.heatherwind.router.peer

/** How well a settlement is protected from loss. */
internal enum class SettlementDurability {
    /** It is in the log. */
    RECORDED,

    /** It is queued on enough routers, which append it once the log is available. */
    KEPT,

    /** It is queued on too few routers: the loss of two routers could lose it. */
    AT_RISK,
}
