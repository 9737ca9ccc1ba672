/**
 * Stand-ins of the platform and the targets, for tests and the demonstration.
 *
 * @module
 */
export * from './bench_capacity.ts'
export * from './caller.ts'
export * from './child.ts'
export * from './cluster.ts'
export * from './deployments.ts'
export * from './platform_standin.ts'
export * from './target_standin.ts'
