/**
 * The operators' JSON interface, served by moleculer-web on a listener of our own.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { TokenRecord } from '@bilberryworks/operators'
import type { Registry } from 'prom-client'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import { findToken } from '@bilberryworks/operators'
import moleculerWeb from 'moleculer-web'

type GatewayRequest = IncomingMessage & { $ctx: { meta: Record<string, unknown> }, body?: unknown }

/** A moleculer-web service that has no listener of its own. */
interface Gateway {
  express (): RequestListener
}

const maxDocumentSize = '1MB'

/** Options of {@linkcode createOperatorsGateway}. */
export interface CreateOperatorsGatewayOptions {
  /** Tokens that are valid. */
  tokens: () => TokenRecord[]
  /** Called for each call without a valid token. */
  countUnauthenticated: () => void
  /** Metrics to render. */
  registry: Registry
  /** Whether the instance may be named to callers. */
  isReady: () => boolean
}

/**
 * Creates the handler of the operators' interface.
 *
 * @param broker The broker that holds the `operators` service
 * @param options Tokens, metrics and readiness
 * @returns A handler for `node:http`
 */
export function createOperatorsGateway (broker: ServiceBroker, options: CreateOperatorsGatewayOptions): RequestListener {
  const gateway = createGateway(broker, {
    name: 'operators-gateway',
    mixins: [moleculerWeb as unknown as ServiceSchema],
    settings: {
      server: false,
      routes: [{
        path: '/v1',
        mappingPolicy: 'restrict',
        bodyParsers: { json: { limit: maxDocumentSize } },
        aliases: {
          'GET documents': 'operators.listDocuments',
          'GET documents/:service': 'operators.getDocument',
          'PUT documents/:service': 'operators.putDocument',
          'GET documents/:service/history': 'operators.getHistory',
          'GET status': 'operators.getStatus',
          'GET status/:service': 'operators.getServiceStatus'
        },
        onBeforeCall (ctx: { meta: Record<string, unknown> }, _route: unknown, request: GatewayRequest) {
          ctx.meta['token'] = findToken(request.headers.authorization, options.tokens())
          ctx.meta['body'] = request.body
          ctx.meta['ifMatch'] = request.headers['if-match']
          ctx.meta['ifNoneMatch'] = request.headers['if-none-match']
          // moleculer-web would answer a PUT with `If-None-Match: *` by 304.
          if (request.method === 'PUT') delete request.headers['if-none-match']
          ctx.meta['submissionId'] = request.headers['submission-id']
        }
      }]
    }
  })
  return (request, response) => {
    switch (request.url) {
      case '/healthz':
        replyText(response, 200, 'ok')
        break
      case '/readyz':
        replyText(response, options.isReady() ? 200 : 503, options.isReady() ? 'ready' : 'not ready')
        break
      case '/metrics':
        replyMetrics(response, options.registry)
        break
      default:
        if (findToken(request.headers.authorization, options.tokens()) === undefined) {
          options.countUnauthenticated()
          response.setHeader('www-authenticate', 'Bearer')
          replyText(response, 401, 'A valid bearer token is required')
        } else {
          gateway(request, response)
        }
    }
  }
}

function createGateway (broker: ServiceBroker, schema: ServiceSchema): RequestListener {
  return (broker.createService(schema) as unknown as Gateway).express()
}

function replyText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' }).end(`${text}\n`)
}

function replyMetrics (response: ServerResponse, registry: Registry): void {
  registry.metrics().then(text => {
    response.writeHead(200, { 'content-type': registry.contentType }).end(text)
  }).catch(() => response.destroy())
}
