package org.heatherwind.core.fleet

import org.heatherwind.core.identity.CustomerId

/** Index of the routes and customers of one [plan]. */
public class RouteTable(public val plan: RoutingPlan) {
    private val routesByHost: Map<String, List<Route>> = plan.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    private val customersByKey: Map<String, Customer> =
        plan.customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    private val customersById: Map<CustomerId, Customer> = plan.customers.associateBy { it.id }

    /** Returns the route of [host] with the longest prefix of [path], or null. The host is case-insensitive. */
    public fun routeOf(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the customer with the API key [key], or null. */
    public fun customerOf(key: String): Customer? = customersByKey[key]

    /** Returns the customer with this [id], or null. */
    public fun customerById(id: CustomerId): Customer? = customersById[id]
}
