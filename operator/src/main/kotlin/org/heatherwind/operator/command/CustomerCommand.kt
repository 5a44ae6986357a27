package org.heatherwind.operator.command

import org.heatherwind.protocol.operations.BudgetMessage
import org.heatherwind.router.entry.RequestIdentity
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.security.SecureRandom
import java.util.HexFormat

/** `heatherwind customer NAME --budget BUDGET`: creates a budget with a new API key, which is printed only once. */
internal class CustomerCommand : RouterCommand() {
    override val summary = "create a customer's budget with a new API key"

    @Argument(metaVar = "CUSTOMER", required = true, usage = "the customer's name")
    var customer: String = ""

    @Option(name = "--budget", metaVar = "BUDGET", required = true, usage = "the budget's name, unique in the fleet")
    var budget: String = ""

    override suspend fun run(): ExitCode {
        val key = "$budget.${newSecret()}"
        client().createBudget(BudgetMessage(budget, customer, RequestIdentity.digestOf(key).hexadecimal))
        val text = "budget $budget of $customer; API key, not shown again: $key"
        println(if (isJson) """{"budget":"$budget","key":"$key"}""" else text)
        return ExitCode.DONE
    }

    private fun newSecret(): String {
        val bytes = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        return HexFormat.of().formatHex(bytes)
    }

    private companion object {
        const val SECRET_BYTES = 24
    }
}
