package org.heatherwind.operator.demonstration

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.operator.client.OperatorClient
import org.heatherwind.protocol.document.ConfigurationDocument
import org.heatherwind.protocol.operations.BudgetMessage
import org.heatherwind.protocol.operations.PublishMessage
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.router.RouterProcess
import org.heatherwind.router.entry.RequestIdentity
import org.heatherwind.router.settings.ListenerSettings
import org.heatherwind.router.settings.RouterSettings

/** A router of a local fleet, with its own connection to the log service. */
public class LocalRouter(
    /** The instance that the router is listed under. */
    public val instance: InstanceId,
    /** The router process, running inside this JVM. */
    public val process: RouterProcess,
    /** Connection to the log service, which can be partitioned. */
    public val log: PartitionableLog,
) {
    /** Base URL of the caller API. */
    public val callerAddress: String get() = "http://127.0.0.1:${process.callerPort}"

    /** Base URL of the operator API. */
    public val operatorAddress: String get() = "http://127.0.0.1:${process.operatorPort}"
}

/** A fleet of routers in this process, with stand-ins for the platform and the targets. */
public class LocalFleet(
    /** Stand-ins for the platform and the targets. */
    public val platform: LocalPlatform,
) : AutoCloseable {
    private val running = mutableListOf<LocalRouter>()

    /** Routers that were started and not killed. */
    public val routers: List<LocalRouter> get() = running.toList()

    /** Starts a router named [name] in [dataCentre] and adds it to the instance list. */
    public suspend fun startRouter(name: String, dataCentre: DataCentreId = LocalPlatform.DATA_CENTRE): LocalRouter {
        val log = PartitionableLog(platform.log)
        val process = RouterProcess(settingsOf(name, dataCentre), log = log, instanceList = platform.instances)
        process.start()
        val instance = InstanceId(name)
        platform.instances.put(ListedInstance(instance, "127.0.0.1:${process.peerPort}", dataCentre))
        return LocalRouter(instance, process, log).also { running += it }
    }

    /** Publishes the platform's configuration and waits until every router is ready. */
    public suspend fun configure() {
        val document = ConfigurationDocument.write(platform.configuration())
        operator().publish(PublishMessage(base = 0, publisher = "demo", changeKey = "demo", document = document))
        awaitReady()
    }

    /** Waits until every router is ready and has a configuration; fails after 60 s. */
    public suspend fun awaitReady() {
        withTimeout(READY_TIMEOUT_MILLISECONDS) {
            while (!running.all { it.process.isReady && it.process.configurationVersion > 0 }) {
                delay(POLL_INTERVAL_MILLISECONDS)
            }
        }
    }

    /** Creates a budget with [tokens] prepaid tokens and returns its API key. */
    public suspend fun createBudget(budget: String, tokens: Long): String {
        val key = "$budget.demo-secret"
        operator().createBudget(BudgetMessage(budget, "customer-of-$budget", RequestIdentity.digestOf(key).hexadecimal))
        operator().topUp(budget, TopUpMessage(tokens, topUpKey = "first"))
        return key
    }

    /** Kills [router] without a graceful shutdown, and removes it from the instance list. */
    public fun kill(router: LocalRouter) {
        router.process.terminate()
        running -= router
        platform.instances.remove(router.instance)
    }

    /** Returns a client of the operator API of the first router. */
    public fun operator(): OperatorClient = OperatorClient(running.first().operatorAddress, OPERATOR_TOKEN)

    override fun close() {
        running.forEach { it.process.terminate() }
        platform.close()
    }

    private fun settingsOf(name: String, dataCentre: DataCentreId) = RouterSettings(
        instance = InstanceId(name),
        dataCentre = dataCentre,
        callers = ListenerSettings(port = 0),
        peers = ListenerSettings(port = 0),
        operators = ListenerSettings(port = 0),
        logService = platform.address,
        instanceList = platform.address,
        peerToken = "demo-peer-token",
        operatorTokenDigest = RequestIdentity.digestOf(OPERATOR_TOKEN),
    )

    private companion object {
        const val OPERATOR_TOKEN = "demo-operator-token"
        const val READY_TIMEOUT_MILLISECONDS = 60_000L
        const val POLL_INTERVAL_MILLISECONDS = 20L
    }
}
