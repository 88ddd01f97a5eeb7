/**
 * A listener that passes requests through a `moleculer-web` gateway of the local broker. Their bodies and streams are
 * handled outside the gateway.
 */
import { type Service, type ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import { type RequestListener } from "node:http";
import { type HttpHandler, listenerOf } from "./HttpServer.ts";

/** Options of a listener. */
export interface BrokerListenerOptions {
    /** Whether requests bypass the gateway's action call, which is a fifth of the cost of a caller's request. */
    readonly skipsActions?: boolean;
}

interface ApiGatewayService extends Service {
    express(): RequestListener;
}

/** Creates the gateway service `NAME-server` at the broker, and returns its listener. */
export const createBrokerListener = (
    broker: ServiceBroker,
    name: string,
    handle: HttpHandler,
    options: BrokerListenerOptions = {},
): RequestListener => {
    const answer = listenerOf(handle);
    const service = broker.createService({
        name: `${name}-server`,
        mixins: [ApiGateway],
        settings: {
            server: false,
            logRequest: false,
            logResponse: false,
            logRouteRegistration: false,
            routes: [{ path: "/", use: [answer], bodyParsers: false, aliases: {} }],
        },
        ...(options.skipsActions === true ? { methods: { httpHandler: answer } } : {}),
    }) as ApiGatewayService;
    return service.express();
};
