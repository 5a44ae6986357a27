package org.heatherwind.core.fleet

import org.heatherwind.core.identity.CustomerId

/** Looks up routes and customers of one [plan]. */
public class RouteTable(public val plan: RoutingPlan) {
    private val routesByHost: Map<String, List<Route>> = plan.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    private val customersByKey: Map<String, Customer> =
        plan.customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    private val customersById: Map<CustomerId, Customer> = plan.customers.associateBy { it.id }

    /** The route of [host] whose prefix is the longest one that begins [path], or null. */
    public fun routeOf(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The customer that holds [key], or null. */
    public fun customerOf(key: String): Customer? = customersByKey[key]

    /** The customer named [id], or null. */
    public fun customerById(id: CustomerId): Customer? = customersById[id]
}
