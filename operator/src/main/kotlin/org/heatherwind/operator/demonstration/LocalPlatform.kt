package org.heatherwind.operator.demonstration

import org.heatherwind.core.configuration.EngineService
import org.heatherwind.core.configuration.FleetConfiguration
import org.heatherwind.core.configuration.PlainService
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.standins.StandInServer
import org.heatherwind.standins.instances.MemoryInstanceList
import org.heatherwind.standins.instances.instanceRoutes
import org.heatherwind.standins.log.MemoryLog
import org.heatherwind.standins.log.logRoutes
import org.heatherwind.standins.targets.EngineStandIn
import org.heatherwind.standins.targets.PlainServiceStandIn

/** Stand-ins for the platform and the targets, in this process, each on a loopback port. */
public class LocalPlatform private constructor(
    /** In-memory stand-in of the log service. */
    public val log: MemoryLog,
    /** In-memory stand-in of the instance list. */
    public val instances: MemoryInstanceList,
    /** The engines of the model [MODEL]. */
    public val engines: List<EngineStandIn>,
    /** The plain service at [ORDER_PATH]. */
    public val orders: PlainServiceStandIn,
    private val servers: Servers,
) : AutoCloseable {
    /** Address of the log service and the instance list. */
    public val address: String get() = servers.platform.address

    /** Addresses of the engines. */
    public val engineAddresses: List<String> get() = servers.engines.map { it.address }

    /** Address of the plain service. */
    public val orderAddress: String get() = servers.orders.address

    /** Returns a configuration with one service for the engines and one for the plain service. */
    public fun configuration(): FleetConfiguration = FleetConfiguration(
        services = listOf(
            EngineService(
                name = ServiceId("assistant"),
                models = listOf(MODEL),
                targets = engineAddresses.mapIndexed { index, address ->
                    target("engine-$index", address, ENGINE_SLOTS)
                },
            ),
            PlainService(
                name = ServiceId("orders"),
                path = ORDER_PATH,
                isIdempotent = false,
                tokensPerCall = ORDER_PRICE,
                targets = listOf(target("orders-0", orderAddress, ORDER_SLOTS)),
            ),
        ),
    )

    override fun close() {
        (servers.engines + servers.platform + servers.orders).forEach { it.close() }
    }

    private fun target(name: String, address: String, slots: Int) =
        TargetDefinition(TargetId(name), address, DATA_CENTRE, slots)

    private class Servers(val platform: StandInServer, val engines: List<StandInServer>, val orders: StandInServer)

    public companion object {
        /** The model that the engines serve. */
        public const val MODEL: String = "glaze-1"

        /** The path of the plain service. */
        public const val ORDER_PATH: String = "/orders"

        /** Price of an order in tokens. */
        public const val ORDER_PRICE: Long = 5

        /** The data centre of all targets. */
        public val DATA_CENTRE: DataCentreId = DataCentreId("dc-a")

        private const val ENGINES = 3
        private const val ENGINE_SLOTS = 64
        private const val ORDER_SLOTS = 64

        /** Starts the stand-ins on [port] and the following ports, or on free ports if [port] is 0. */
        public suspend fun start(port: Int = 0): LocalPlatform {
            val log = MemoryLog()
            val instances = MemoryInstanceList()
            val engines = List(ENGINES) { EngineStandIn(ENGINE_SLOTS) }
            val orders = PlainServiceStandIn()
            val servers = Servers(
                platform = StandInServer.start(port) {
                    logRoutes(log)
                    instanceRoutes(instances)
                },
                engines = engines.mapIndexed { index, engine ->
                    StandInServer.start(portAfter(port, index + 1)) { engine.routes(this) }
                },
                orders = StandInServer.start(portAfter(port, ENGINES + 1)) { orders.routes(this, ORDER_PATH) },
            )
            return LocalPlatform(log, instances, engines, orders, servers)
        }

        private fun portAfter(port: Int, offset: Int) = if (port == 0) 0 else port + offset
    }
}
