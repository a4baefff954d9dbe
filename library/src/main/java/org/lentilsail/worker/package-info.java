/** Orders to workers and machines, and their answers. */
package org.lentilsail.worker;
