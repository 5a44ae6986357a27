package org.heatherwind.router.entry

import org.heatherwind.core.configuration.ConfigurationRules
import org.heatherwind.core.configuration.EngineService
import org.heatherwind.core.configuration.FleetConfiguration
import org.heatherwind.core.configuration.PlainService
import org.heatherwind.core.configuration.ServiceSettings
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.router.peer.OwnerClient
import org.heatherwind.router.telemetry.RouterMetrics

/** Dependencies shared by the handlers of callers' requests, and look-ups in the current fleet configuration. */
internal class EntryContext(
    val entry: Incarnation,
    val identity: RequestIdentity,
    val owners: OwnerClient,
    val settlements: SettlementDispatcher,
    val slots: SlotAllocator,
    val metrics: RouterMetrics,
    val traces: RequestTraces,
    val clock: WallClock,
    val maximumBodyBytes: Int,
    private val configuration: () -> FleetConfiguration,
) {
    /** Returns the engine service that offers [model], or null. */
    fun findEngineService(model: String): EngineService? =
        configuration().services.filterIsInstance<EngineService>().firstOrNull { model in it.models }

    /** Returns the plain service at [path], or null. */
    fun findPlainService(path: String): PlainService? =
        configuration().services.filterIsInstance<PlainService>().firstOrNull { it.path == path }

    fun modelNames(): List<String> = configuration().services.filterIsInstance<EngineService>().flatMap { it.models }

    /** Returns the settings that apply to [service] at [now]. */
    fun settingsOf(service: ServiceId, now: Timestamp): ServiceSettings =
        ConfigurationRules.settingsOf(configuration(), service, now)
}
