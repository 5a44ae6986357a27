package org.heatherwind.operator.command

import kotlinx.serialization.json.Json
import org.heatherwind.protocol.operations.StatusReport

/** `heatherwind status`: prints the state of the given routers. */
internal class StatusCommand : RouterCommand() {
    override val summary = "show the state of routers"

    override suspend fun run(): ExitCode {
        val reports = clients().map { it.status() }
        if (isJson) println(Json.encodeToString(reports)) else reports.forEach { print(it) }
        return ExitCode.DONE
    }

    private fun print(report: StatusReport) {
        val condition = when {
            report.isDraining -> "stopping"
            report.isReady -> "ready"
            else -> "not ready"
        }
        println("${report.instance} ($condition), configuration ${report.configurationVersion}")
        println("  ${report.requestsInProgress} requests in progress")
        println("  ${report.settlementsWaiting} settlements not yet recorded in the log")
        println("  live routers in its view: ${report.routers.joinToString()}")
        report.shards.forEach { shard ->
            val log = if (shard.isLogFailing) ", log out" else ""
            println(
                "  shard ${shard.shard} through offset ${shard.through}: ${shard.budgets} budgets, " +
                    "${shard.openRequests} open requests, ${shard.unconfirmedRecords} records unconfirmed$log",
            )
            shard.quarantinedHolders.forEach { println("    quarantined: $it") }
        }
    }
}
