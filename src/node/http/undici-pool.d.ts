/**
 * The pool alone. The main module of `undici` also loads fetch, WebSocket and caches, which gateway processes don't use.
 */
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";
    export default Pool;
}
