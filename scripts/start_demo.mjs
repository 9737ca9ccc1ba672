/**
 * Makes the clone ready and runs the demonstration in this process, so that signals reach it.
 *
 * @module
 */
import './prepare_tree.mjs'

await import('../packages/standins/dist/main_demo.js')
