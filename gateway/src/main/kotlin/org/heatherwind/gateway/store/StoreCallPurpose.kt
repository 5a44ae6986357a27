package org.heatherwind.gateway.store

/** What a router calls the store for. */
internal enum class StoreCallPurpose(val label: String) {
    /** Publishes its own report, or fences its predecessors. */
    REPORT("report"),

    /** Reads the reports of all routers. */
    REPORT_READ("report-read"),

    /** Reads the routing plan and orders. */
    PLAN_READ("plan-read"),

    /** Reads the list of targets. */
    TARGET_READ("target-read"),

    /** Reads the statuses of roll-outs. */
    STATUS_READ("status-read"),

    /** Writes the status of a roll-out. */
    STATUS_WRITE("status-write"),

    /** Reads allocations of budgets. */
    LEDGER_READ("ledger-read"),

    /** Changes allocations of budgets. */
    LEDGER_APPEND("ledger-append"),
}
