package org.heatherwind.operator.command

import kotlinx.serialization.json.Json
import org.heatherwind.protocol.operations.BudgetReport
import org.heatherwind.protocol.operations.TopUpMessage
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

/** `heatherwind budget show|top-up BUDGET`: shows a budget, or adds tokens to it. */
internal class BudgetCommand : RouterCommand() {
    override val summary = "show a budget, or top it up"

    @Argument(index = 0, metaVar = "show|top-up", required = true, usage = "the action")
    var action: String = ""

    @Argument(index = 1, metaVar = "BUDGET", required = true, usage = "the budget's name")
    var budget: String = ""

    @Option(name = "--tokens", metaVar = "TOKENS", usage = "tokens to add")
    var tokens: Long = 0

    @Option(name = "--key", metaVar = "KEY", usage = "idempotency key of the top-up: repeating it adds no tokens")
    var topUpKey: String = UUID.randomUUID().toString()

    override suspend fun run(): ExitCode = when (action) {
        "show" -> show(client().budget(budget))
        "top-up" -> topUp()
        else -> throw UsageException("unknown action '$action'; expected show or top-up")
    }

    private suspend fun topUp(): ExitCode {
        val client = client()
        client.topUp(budget, TopUpMessage(tokens, topUpKey))
        return show(client.budget(budget))
    }

    private fun show(report: BudgetReport): ExitCode {
        if (isJson) println(Json.encodeToString(report)) else print(report)
        return ExitCode.DONE
    }

    private fun print(report: BudgetReport) {
        println("budget ${report.budget} of ${report.customer}, in tokens")
        println("  prepaid ${report.prepaid}, spent ${report.spent}, available ${report.available}")
        println("  quarantined ${report.quarantined}, shortfall ${report.shortfall}")
        report.grants.forEach { grant ->
            val quarantineSuffix = if (grant.isQuarantined) ", quarantined" else ""
            println("  granted to ${grant.holder}: ${grant.remaining} left$quarantineSuffix")
        }
    }
}
