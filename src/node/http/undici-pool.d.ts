/**
 * The pool alone, without the rest of `undici` (fetch, WebSocket, caches), which takes 0.05 s of processor time to load.
 */
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";
    export default Pool;
}
