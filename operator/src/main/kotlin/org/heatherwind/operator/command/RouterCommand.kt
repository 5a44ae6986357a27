package org.heatherwind.operator.command

import org.heatherwind.operator.client.OperatorClient
import org.kohsuke.args4j.Option

/** Base class of the commands that call routers, with their common options. */
internal abstract class RouterCommand : Command {
    @Option(name = "--router", metaVar = "ADDRESS", usage = "base URL of a router's operator API (repeat for more)")
    var routers: List<String> = mutableListOf()

    @Option(name = "--token", metaVar = "TOKEN", usage = "operator's token (default: HEATHERWIND_TOKEN)")
    var token: String = System.getenv("HEATHERWIND_TOKEN").orEmpty()

    @Option(name = "--json", usage = "print JSON")
    var isJson: Boolean = false

    protected fun clients(): List<OperatorClient> =
        routers.ifEmpty { listOf(DEFAULT_ADDRESS) }.map { OperatorClient(it, token) }

    protected fun client(): OperatorClient = clients().first()

    private companion object {
        const val DEFAULT_ADDRESS = "http://127.0.0.1:8082"
    }
}
