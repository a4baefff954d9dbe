/** Execution of callbacks and tasks whose failure must not stop the work that follows. */
package org.lentilsail.concurrent;
