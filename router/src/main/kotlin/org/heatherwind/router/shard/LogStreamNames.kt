package org.heatherwind.router.shard

/** Names of the streams in the log service. */
public object LogStreamNames {
    /** The stream of configuration changes. */
    public const val CONFIGURATION: String = "configuration"

    /** Returns the name of the stream of ledger shard [shard]. */
    public fun ledger(shard: Int): String = "ledger-$shard"
}
