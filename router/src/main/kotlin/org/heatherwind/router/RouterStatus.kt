package org.heatherwind.router

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.protocol.operations.ShardReport
import org.heatherwind.protocol.operations.StatusReport
import org.heatherwind.router.entry.CallerServer
import org.heatherwind.router.peer.Membership
import org.heatherwind.router.settings.RouterSettings
import org.heatherwind.router.shard.ShardRunner
import org.heatherwind.router.shard.ShardRunnerRegistry

/** Builds the status report for operators from a router's state. */
internal object RouterStatus {
    fun report(
        settings: RouterSettings,
        incarnation: Incarnation,
        isReady: Boolean,
        callers: CallerServer,
        settlementsWaiting: Int,
        configurationVersion: Long,
        membership: Membership,
        shards: ShardRunnerRegistry,
    ): StatusReport = StatusReport(
        instance = settings.instance.value,
        incarnation = incarnation.value,
        isReady = isReady,
        isDraining = callers.isDraining,
        configurationVersion = configurationVersion,
        requestsInProgress = callers.requestsInProgress,
        settlementsWaiting = settlementsWaiting,
        routers = membership.live.map { it.instance.value },
        shards = shards.followedShards.mapNotNull { (shard, runner) -> shardReport(shard, runner) },
    )

    private fun shardReport(shard: Int, runner: ShardRunner): ShardReport? {
        val state = runner.state ?: return null
        return ShardReport(
            shard = shard,
            through = state.ledger.through,
            budgets = state.ledger.budgets.size,
            openRequests = state.open.size,
            unconfirmedRecords = runner.unconfirmedRecords,
            isLogFailing = runner.isLogFailing,
            quarantinedHolders = state.ledger.gone.keys.map { it.value }.sorted(),
        )
    }
}
