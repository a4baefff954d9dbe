/**
 * Stand-in for the backend server of a worker, with a journal of what ran and faults on request.
 */
package org.lentilsail.standin.backend;
